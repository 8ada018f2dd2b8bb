// Parses the client's command line and settings file.
#pragma once

#include <cxxopts.hpp>
#include <span>
#include <string>
#include <vector>

#include "command.h"
#include "dogwoodlatch/schema.h"

namespace dogwoodlatch::cli {

// Returns the schema of the client's settings file.
std::span<const KeySpec> ClientSchema();

cxxopts::Options MakeOptions();

// Reads the settings file if --config names one; command-line options override
// its values.
Result<ClientOptions> ReadClientOptions(const cxxopts::ParseResult& parsed);

// Returns the contents of a file; fails with kIo if it cannot be opened.
Result<std::string> ReadFile(const std::string& file);

}  // namespace dogwoodlatch::cli
