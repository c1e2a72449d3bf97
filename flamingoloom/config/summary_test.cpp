#include <doctest/doctest.h>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "flamingoloom/config/example_answers.h"
#include "flamingoloom/config/generate.h"
#include "flamingoloom/config/summary.h"

namespace flamingoloom::config {
namespace {

std::string SummaryOfExample()
{
  auto configuration =
    Generate(ExampleAnswers(), "test", placement::PlanGuarantees);
  return configuration
           ? fmt::format("{}\n", fmt::join(Summarise(*configuration), "\n"))
           : "";
}

} // namespace

// Guards against a summary from which an operator learns the wrong promise.
TEST_CASE("the summary says what is promised")
{
  CHECK(
    SummaryOfExample() ==
    "data centre dc-1 in region r1: 1 rack, 8 backend servers with 8 "
    "accelerators each\n"
    "data centre dc-2 in region r2: 1 rack, 8 backend servers with 8 "
    "accelerators each\n"
    "client account large: can always get 1 block of 32 adjacent "
    "accelerators, also while any one data centre is out of service; may "
    "hold any number of accelerators beyond that; share 3 of contended "
    "capacity\n"
    "client account small: can always get 2 blocks of 4 adjacent "
    "accelerators, also while any one data centre is out of service; may "
    "hold 16 accelerators beyond that; share 1 of contended capacity; its "
    "callers are not checked\n"
    "quote: may run more than once; a request may be lost, and the caller "
    "then asks again; the goal is 99.5% of answers within 500 ms; refused "
    "without "
    "running when it cannot end within 500 ms; starts before the other work "
    "of its account; one task without accelerators; never gives way to a "
    "guarantee; runs to its end when its data centre is taken out of service\n"
    "render: may run more than once; an accepted request survives the loss "
    "of any instance; the goal is 99% of answers within 12 h; a late answer is "
    "still delivered; may wait overnight behind all other work; 4 tasks "
    "that run together or not at all with 8 accelerators each, all next to "
    "each other; is checkpointed and continued later when a guarantee is "
    "called in; moves by checkpoint when its data centre is taken out of "
    "service\n"
    "invoice: runs at most once: when it cannot be found out whether it "
    "ran, the caller is told \"unknown\" and it is not repeated; an accepted "
    "request survives the loss of any instance; the goal is 99% of answers "
    "within "
    "6 h; a late answer is still delivered; waits its turn within its "
    "account; one task without accelerators; never gives way to a "
    "guarantee; runs to its end when its data centre is taken out of "
    "service\n");
}

// Guards against a promise that outlasts the only data centre there is.
TEST_CASE("a single data centre promises nothing for its absence")
{
  auto answers = ExampleAnswers();
  answers.mDataCentres.pop_back();
  auto configuration = Generate(answers, "test", placement::PlanGuarantees);
  REQUIRE(configuration);
  CHECK(Summarise(*configuration)[1] ==
        "client account large: can always get 1 block of 32 adjacent "
        "accelerators while the data centre is in service; may hold any number "
        "of accelerators beyond that; share 3 of contended capacity");
}

} // namespace flamingoloom::config
