// A TCP link on loopback that can be disturbed: it delays bytes, holds them, or
// resets its connections. Clients connect to its address instead of the
// target's:
//
//   LinkProxy link(loop, "127.0.0.1:9000");
//   link.SetDelays({ 20ms, 20ms });
//   link.SetHolds({ .mToTarget = true });
//
// Bytes keep their order, and each direction of a connection buffers at most
// kMaxBufferedBytes and then stops reading. Connections are accepted also while
// bytes are held, as the kernel does it. Not thread-safe; the loop must outlive
// the link.
#pragma once

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

namespace flamingoloom::testing::real_cluster {

// How long each byte is under way.
struct LinkDelays
{
  std::chrono::microseconds mToTarget{ 0 };
  std::chrono::microseconds mToClient{ 0 };

  bool operator==(const LinkDelays&) const = default;
};

// The directions in which nothing is delivered.
struct LinkHolds
{
  bool mToTarget = false;
  bool mToClient = false;

  bool operator==(const LinkHolds&) const = default;
};

class LinkProxy
{
public:
  // Of one direction of a connection.
  static constexpr std::size_t kMaxBufferedBytes = std::size_t{ 256 } * 1024;

  // Listens on a free port. aTarget is "ADDRESS:PORT", and may be unreachable:
  // then connections to the link are reset.
  LinkProxy(boost::asio::io_context& aLoop, const std::string& aTarget);
  // Resets all connections.
  ~LinkProxy();
  LinkProxy(const LinkProxy&) = delete;
  LinkProxy& operator=(const LinkProxy&) = delete;

  // "127.0.0.1:PORT".
  std::string Address() const;
  // Applies to bytes that are read from now on.
  void SetDelays(const LinkDelays& aDelays);
  // What was held is delivered once it isn't held any more.
  void SetHolds(const LinkHolds& aHolds);
  // Resets all open connections on both sides; new ones work.
  void ResetConnections();
  std::size_t Connections() const;

private:
  class Connection;
  class Pipe;
  struct State;

  static void Accept(const std::shared_ptr<State>& aState);

  std::shared_ptr<State> mState;
};

} // namespace flamingoloom::testing::real_cluster
