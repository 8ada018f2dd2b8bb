// Stand-ins for external systems, each an HTTP server that runs until a stop
// signal.
#pragma once

#include <chrono>
#include <string>

#include "dogwoodlatch/standin/engine_model.h"

namespace dogwoodlatch::standin {

struct EngineOptions {
  std::string address;
  std::string model;
  std::string weights_version;
  size_t piece_bytes = 0;
  EngineParameters parameters;
};

struct ServiceOptions {
  std::string address;
  std::string name;
  std::string journal;  // file that receives one line per call that ran
  std::chrono::milliseconds latency{0};
};

int RunEngine(const EngineOptions& options);
int RunService(const ServiceOptions& options);
int RunPlatform(const std::string& address);

}  // namespace dogwoodlatch::standin
