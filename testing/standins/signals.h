// Waits for the signals that ask a stand-in process to stop.
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

// To be called before the first thread is created, as threads inherit it.
inline void BlockStopSignals()
{
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

inline void WaitForStopSignal()
{
  const sigset_t signals = StopSignals();
  int signal = 0;
  sigwait(&signals, &signal);
}

} // namespace flamingoloom::standins
