// Carries requests and answers over HTTP.
#pragma once

#include <functional>
#include <future>
#include <thread>

#include <httplib.h>

#include "flamingoloom/base/error.h"
#include "flamingoloom/frontend/admission.h"
#include "flamingoloom/frontend/api_message.h"
#include "flamingoloom/frontend/connection_set.h"
#include "flamingoloom/frontend/refusal.h"
#include "flamingoloom/frontend/settings.h"
#include "flamingoloom/frontend/socket_stream.h"

namespace flamingoloom::frontend::internal {

// One thread accepts, and a pool serves one connection per thread. The HTTP
// library parses and formats; connections, limits and admission are here.
class HttpServer final : private httplib::Server
{
public:
  using Answer = std::function<ApiReply(const ApiRequest&)>;

  // aAnswer is called on many threads at the same time. The references
  // outlive this.
  HttpServer(const FrontendSettings& aSettings,
             Admission& aAdmission,
             Answer aAnswer);
  // Waits for the requests in progress.
  ~HttpServer() override;

  // Binds and starts to accept. Called once. Returns the bound port.
  base::Expected<int> Start();

private:
  // What is found out about one request while it is processed.
  struct Progress
  {
    bool mEntered = false;
    // The headers were accepted. Otherwise the body may be unread, and what
    // follows on the connection cannot be told from it.
    bool mAccepted = false;
  };

  bool process_and_close_socket(socket_t aSocket) override;
  void ServeConnection(int aSocket);
  bool ServeRequest(SocketStream& aStream);
  void Admit(httplib::Request& aRequest, Progress& aProgress);

  void Configure();
  void RegisterHandlers();
  int Bind(const std::string& aHost, int aPort);

  const FrontendSettings& mSettings;
  Admission& mAdmission;
  const Answer mAnswer;
  ConnectionSet mConnections;
  std::promise<void> mAccepting;
  std::thread mThread;
};

} // namespace flamingoloom::frontend::internal
