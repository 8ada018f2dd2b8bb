#include "client_options.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <iterator>

namespace dogwoodlatch::cli {
namespace {

using Json = nlohmann::json;

constexpr std::array kSchema = {
    KeySpec{"platform", ValueType::kString, "characters", 0, 64, "\"\"",
            "Address of the platform, ip:port."},
    KeySpec{"daemons", ValueType::kArray, "elements", 0, 10000, "[]",
            "Operations addresses of the routers and agents."},
    KeySpec{"daemons[]", ValueType::kString, "characters", 3, 64, "\"\"",
            "ip:port."},
    KeySpec{"timeout_ms", ValueType::kInteger, "ms", 10, 60000, "2000",
            "Longest wait for one response."},
};

struct FormatName {
  std::string_view name;
  OutputFormat format;
};

constexpr std::array kFormats = {FormatName{"table", OutputFormat::kTable},
                                 FormatName{"json", OutputFormat::kJson},
                                 FormatName{"html", OutputFormat::kHtml}};

Result<Json> ReadSettingsFile(const cxxopts::ParseResult& parsed) {
  if (parsed.count("config") == 0) return FillDefaults(Json::object(), kSchema);
  const std::string file = parsed["config"].as<std::string>();
  const Result<std::string> text = ReadFile(file);
  if (!text) return text.error();
  const Result<Json> document = ParseJsonWithComments(text.value(), file);
  if (!document) return document.error();
  const std::vector<Error> faults = FindFaults(document.value(), kSchema, file);
  if (!faults.empty()) return faults.front();
  return FillDefaults(document.value(), kSchema);
}

Result<OutputFormat> ParseFormat(const std::string& name) {
  const auto found = std::ranges::find(kFormats, name, &FormatName::name);
  if (found != kFormats.end()) return found->format;
  return Error{ErrorCode::kOutOfBounds, "--output",
               "must be table, json or html"};
}

}  // namespace

std::span<const KeySpec> ClientSchema() { return kSchema; }

cxxopts::Options MakeOptions() {
  cxxopts::Options options("dogwoodlatch",
                           "Command-line client for operators.");
  options.add_options()("config", "path of the client's settings file",
                        cxxopts::value<std::string>())(
      "platform", "address of the platform, ip:port",
      cxxopts::value<std::string>())(
      "daemons", "operations addresses of the daemons, ip:port,...",
      cxxopts::value<std::vector<std::string>>())(
      "output", "output format: table, json or html",
      cxxopts::value<std::string>()->default_value("table"))(
      "base", "version of the settings that the new ones are based on",
      cxxopts::value<uint64_t>())(
      "against", "compare with a file, or with the version in-force",
      cxxopts::value<std::string>())(
      "node", "settings file of a daemon, for its memory and bounds",
      cxxopts::value<std::string>())("help", "print this help text")(
      "version", "print the version")(
      "command", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"command"});
  options.positional_help("COMMAND");
  return options;
}

Result<ClientOptions> ReadClientOptions(const cxxopts::ParseResult& parsed) {
  const Result<Json> file = ReadSettingsFile(parsed);
  if (!file) return file.error();
  const Result<OutputFormat> format =
      ParseFormat(parsed["output"].as<std::string>());
  if (!format) return format.error();
  ClientOptions options;
  options.output = format.value();
  options.platform = file.value()["platform"];
  options.daemons = file.value()["daemons"];
  options.timeout =
      std::chrono::milliseconds(file.value()["timeout_ms"].get<int64_t>());
  if (parsed.count("platform") > 0) {
    options.platform = parsed["platform"].as<std::string>();
  }
  if (parsed.count("daemons") > 0) {
    options.daemons = parsed["daemons"].as<std::vector<std::string>>();
  }
  if (parsed.count("base") > 0) options.base = parsed["base"].as<uint64_t>();
  if (parsed.count("against") > 0) {
    options.against = parsed["against"].as<std::string>();
  }
  if (parsed.count("node") > 0) options.node = parsed["node"].as<std::string>();
  return options;
}

Result<std::string> ReadFile(const std::string& file) {
  std::ifstream in(file);
  if (!in) return Error{ErrorCode::kIo, file, "cannot be read"};
  return std::string((std::istreambuf_iterator<char>(in)),
                     std::istreambuf_iterator<char>());
}

}  // namespace dogwoodlatch::cli
