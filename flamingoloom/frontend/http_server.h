// Receives API requests and sends API replies over HTTP.
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
#include "flamingoloom/frontend/request_memory.h"
#include "flamingoloom/frontend/settings.h"
#include "flamingoloom/frontend/socket_stream.h"

namespace flamingoloom::frontend::internal {

// One thread accepts connections, and a pool serves one connection per thread.
// The HTTP library parses requests and formats responses; this class handles
// connections, limits and admission.
class HttpServer final : private httplib::Server
{
public:
  using RequestHandler = std::function<ApiReply(const ApiRequest&)>;

  // aHandler is called concurrently on many threads. aSettings and aAdmission
  // must outlive this object.
  HttpServer(const FrontendSettings& aSettings,
             Admission& aAdmission,
             RequestHandler aHandler);
  // Waits for the requests in progress.
  ~HttpServer() override;

  // Binds the address, starts to accept connections and returns the bound port.
  // Must be called at most once.
  base::Expected<int> Start();

private:
  // Outcome of the checks between the headers and the body of a request.
  struct AdmissionResult
  {
    // Whether mAdmission counts the request as in progress.
    bool mCounted = false;
    // Whether the headers were accepted. Otherwise the body may be unread, so
    // that the start of the next request on the connection is unknown.
    bool mAccepted = false;
  };

  bool process_and_close_socket(socket_t aSocket) override;
  void ServeConnection(int aSocket);
  bool ServeRequest(SocketStream& aStream);
  void Admit(httplib::Request& aRequest, AdmissionResult& aResult);

  void Configure();
  void RegisterHandlers();
  int Bind(const std::string& aHost, int aPort);

  const FrontendSettings& mSettings;
  Admission& mAdmission;
  const RequestHandler mHandler;
  ConnectionSet mConnections;
  RequestMemory mRequestMemory;
  std::promise<void> mAccepting;
  std::thread mThread;
};

} // namespace flamingoloom::frontend::internal
