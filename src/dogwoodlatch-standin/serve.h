// Runs an HTTP server until a stop signal.
#pragma once

#include <httplib.h>

#include <string>

namespace dogwoodlatch::standin {

// A waiting watch, a stream and a delayed call each occupy a thread.
inline constexpr size_t kServerThreads = 256;

// Returns the exit code of the process.
int ServeUntilStopped(httplib::Server& server, const std::string& address);

}  // namespace dogwoodlatch::standin
