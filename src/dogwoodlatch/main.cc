// dogwoodlatch: the operators' client.

#include <cxxopts.hpp>
#include <iostream>

#include "dogwoodlatch/settings.h"
#include "dogwoodlatch/util/program.h"

int main(int argc, char** argv) {
  using namespace dogwoodlatch;  // NOLINT(google-build-using-namespace)
  cxxopts::Options options("dogwoodlatch", "The operators' client.");
  options.add_options()("help", "print this text")("version",
                                                   "print the version")(
      "command", "settings explain",
      cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"command"});
  options.positional_help("settings explain");
  // cxxopts reports bad command lines by exception only.
  try {
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("version") > 0) {
      std::cout << "dogwoodlatch " << DOGWOODLATCH_VERSION << "\n";
      return static_cast<int>(ExitCode::kOk);
    }
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return static_cast<int>(ExitCode::kOk);
    }
    if (parsed.count("command") > 0 &&
        parsed["command"].as<std::vector<std::string>>() ==
            std::vector<std::string>{"settings", "explain"}) {
      std::cout << Explain(TeamSchema());
      return static_cast<int>(ExitCode::kOk);
    }
  } catch (const cxxopts::exceptions::exception& e) {
    std::cerr << e.what() << "\n";
  }
  std::cerr << options.help();
  return static_cast<int>(ExitCode::kBadUsage);
}
