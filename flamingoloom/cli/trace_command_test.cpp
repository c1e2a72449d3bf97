#include <doctest/doctest.h>

#include "flamingoloom/cli/run_in_process.h"

namespace flamingoloom::cli {

// Guards against a timeline with lines of other jobs, in the wrong order, or
// without the store and leadership events that explain it.
TEST_CASE("trace prints the lines of a job from all instances in order")
{
  ScratchFolder folder;
  folder.Write("front-1.log",
               "time=10.100 event=job_submitted job=aa outcome=accepted\n"
               "time=10.900 event=store_lost table=op\n"
               "time=10.950 event=job_refused job=cc reason=store_away\n"
               "time=99.000 event=store_regained table=op\n");
  folder.Write("front-2.log",
               "not a log line\n"
               "time=10.200 event=job_seen job=aa queue=q\n"
               "time=10.300 event=start_answered job=aa server=s1\n"
               "time=10.400 event=start_answered job=bb server=s2\n"
               "time=10.500 event=server_silent server=s2\n"
               "time=10.600 event=server_silent server=s1\n"
               "time=11.000 event=job_state job=aa to=completed\n");
  folder.Write("front-3.log",
               "time=10.910 event=store_lost table=op\n"
               "time=10.920 event=lead_taken epoch=2\n");
  const auto result =
    RunCommandLine({ "trace", "aa", "--logs", folder.Path("") });
  CHECK(result.mCode == ExitCode::eDone);
  CHECK(result.mOut ==
        "front-1 time=10.100 event=job_submitted job=aa outcome=accepted\n"
        "front-2 time=10.200 event=job_seen job=aa queue=q\n"
        "front-2 time=10.300 event=start_answered job=aa server=s1\n"
        "front-2 time=10.600 event=server_silent server=s1\n"
        "front-1 time=10.900 event=store_lost table=op\n"
        "front-3 time=10.920 event=lead_taken epoch=2\n"
        "front-2 time=11.000 event=job_state job=aa to=completed\n");
}

// Guards against an empty output that looks as if nothing had happened to the
// job.
TEST_CASE("trace fails when no log names the job")
{
  ScratchFolder folder;
  folder.Write("front-1.log", "time=10.100 event=job_seen job=aa\n");
  auto result = RunCommandLine({ "trace", "bb", "--logs", folder.Path("") });
  CHECK(result.mCode == ExitCode::eNotFound);
  CHECK(result.ErrHas("no line names job bb"));
  result = RunCommandLine({ "trace", "bb", "--logs", folder.Path("none") });
  CHECK(result.mCode == ExitCode::eNotFound);
}

} // namespace flamingoloom::cli
