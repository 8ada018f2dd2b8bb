// The client's command line and settings file.
#pragma once

#include <cxxopts.hpp>
#include <span>
#include <string>
#include <vector>

#include "command.h"
#include "dogwoodlatch/schema.h"

namespace dogwoodlatch::cli {

// The table of the client's settings file.
std::span<const KeySpec> ClientSchema();

cxxopts::Options MakeOptions();

// Reads the settings file, if one is named, and the options over it.
Result<ClientOptions> ReadClientOptions(const cxxopts::ParseResult& parsed);

// The text of a file; fails with kIo.
Result<std::string> ReadFile(const std::string& file);

}  // namespace dogwoodlatch::cli
