#include <doctest/doctest.h>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "flamingoloom/config/example_answers.h"
#include "flamingoloom/config/generate.h"
#include "flamingoloom/config/summary.h"

namespace flamingoloom::config {
namespace {

std::string ExampleSummary()
{
  auto configuration =
    Generate(ExampleAnswers(), "test", placement::PlanGuarantees);
  return configuration
           ? fmt::format("{}\n", fmt::join(Summarise(*configuration), "\n"))
           : "";
}

} // namespace

// Guards against a summary that describes other guarantees or properties than
// the configuration has, on which an operator would then rely.
TEST_CASE("the summary describes guarantees and properties of jobs")
{
  CHECK(
    ExampleSummary() ==
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
    "callers are not authenticated\n"
    "quote: may run more than once; a request may be lost, and the caller "
    "must then repeat it; the objective is 99.5% of answers within 500 ms; "
    "rejected without "
    "running if it cannot complete within 500 ms; starts before the other jobs "
    "of its account; one task without accelerators; is never preempted for a "
    "guarantee; runs to completion when its data centre is taken out of "
    "service\n"
    "render: may run more than once; an accepted request survives the loss "
    "of any instance; the objective is 99% of answers within 12 h; a late "
    "answer is still delivered; may wait overnight and starts after all other "
    "jobs; 4 tasks that run together or not at all with 8 accelerators each, "
    "all adjacent; is checkpointed when preempted for a guarantee, and resumed "
    "later; is checkpointed and relocated when its data centre is taken "
    "out of service\n"
    "invoice: runs at most once: if its outcome cannot be determined, the "
    "caller receives \"unknown\" and the job is not retried; an accepted "
    "request survives the loss of any instance; the objective is 99% of "
    "answers within "
    "6 h; a late answer is still delivered; has normal priority within its "
    "account; one task without accelerators; is never preempted for a "
    "guarantee; runs to completion when its data centre is taken out of "
    "service\n");
}

// Guards against a summary that claims, for a deployment with a single data
// centre, that guarantees hold while that data centre is out of service.
TEST_CASE("the summary limits guarantees of a single data centre")
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
