// Handling of the signals (SIGTERM and SIGINT) that stop a stub server.
#pragma once

#include <csignal>

namespace flamingoloom::standins {

inline sigset_t StopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

// Blocks the stop signals. Must be called before the first thread is created,
// because threads inherit the signal mask.
inline void BlockStopSignals()
{
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

// Blocks until a stop signal arrives. Requires BlockStopSignals.
inline void WaitForStopSignal()
{
  const sigset_t signals = StopSignals();
  int signal = 0;
  sigwait(&signals, &signal);
}

} // namespace flamingoloom::standins
