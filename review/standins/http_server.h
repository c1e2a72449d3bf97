// An HTTP/1.1 server for stand-ins that can crash: all its connections are
// reset, and its port stays reserved for the next life. Not thread-safe.
#pragma once

#include <functional>
#include <memory>
#include <set>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "flamingoloom/http/message.h"

namespace review {

using flamingoloom::http::Request;
using flamingoloom::http::Response;
using Responder = std::function<void(Response)>;
using Handler = std::function<void(const Request&, Responder)>;

class HttpServer : public std::enable_shared_from_this<HttpServer>
{
public:
  HttpServer(boost::asio::io_context& aLoop, Handler aHandler);

  // Listens on loopback, on a free port the first time and then on the same
  // one.
  void Start();
  // Closes the port and resets all connections.
  void Crash();
  int Port() const { return mPort; }
  std::string Address() const { return "127.0.0.1:" + std::to_string(mPort); }

private:
  class Session;

  void Accept();

  boost::asio::io_context& mLoop;
  Handler mHandler;
  std::unique_ptr<boost::asio::ip::tcp::acceptor> mAcceptor;
  std::set<std::shared_ptr<Session>> mSessions;
  int mPort = 0;
};

} // namespace review
