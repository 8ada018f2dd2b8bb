#include "serve.h"

#include <iostream>
#include <thread>

#include "dogwoodlatch/util/address.h"
#include "dogwoodlatch/util/program.h"

namespace dogwoodlatch::standin {

int ServeUntilStopped(httplib::Server& server, const std::string& address) {
  const Address parsed = ParseAddress(address);
  server.new_task_queue = [] {
    return new httplib::ThreadPool(kServerThreads);
  };
  server.set_tcp_nodelay(true);
  // The library's default options would share the port with a process that
  // already listens on it.
  server.set_socket_options(SetExclusiveBind);
  if (!server.bind_to_port(parsed.host, parsed.port)) {
    std::cerr << "cannot listen on " << address << "\n";
    return static_cast<int>(ExitCode::kFailed);
  }
  std::thread serving([&server] { server.listen_after_bind(); });
  WaitForStopSignal();
  server.stop();
  serving.join();
  return static_cast<int>(ExitCode::kOk);
}

}  // namespace dogwoodlatch::standin
