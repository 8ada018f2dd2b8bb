// Implements `check`: finds faults of a configuration before it is written.

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <optional>
#include <utility>

#include "client_options.h"
#include "command.h"
#include "platform/configuration_check.h"
#include "platform/configuration_diff.h"
#include "platform/objects.h"

namespace dogwoodlatch::cli {
namespace {

using Json = nlohmann::json;
using platform::Finding;
using platform::Severity;

constexpr int kJsonIndent = 2;

// As daemons hold of a list.
constexpr size_t kMaxListBytes = 16UL * 1024 * 1024;

// Reads one byte more than a document may have, as a file may be endless.
Result<std::string> ReadBounded(const std::string& file) {
  const Error unreadable{ErrorCode::kIo, file, "cannot be read"};
  std::error_code ignored;
  std::ifstream in(file);
  // A folder can be opened, too.
  if (!in || std::filesystem::is_directory(file, ignored)) return unreadable;
  std::string text(platform::kMaxDocumentBytes + 1, '\0');
  in.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (in.bad()) return unreadable;
  text.resize(static_cast<size_t>(in.gcount()));
  return text;
}

Result<Json> FetchInForce(const ClientOptions& options) {
  if (options.platform.empty()) {
    return Error{ErrorCode::kUnavailable, std::string(kInForce),
                 "no address of the platform; pass --platform"};
  }
  const PlatformClient client = options.OpenPlatform();
  platform::ObjectCollector listed(kMaxListBytes);
  platform::ListCursor cursor;
  for (bool has_more = true; has_more;) {
    const auto body = client.GetText(
        platform::ListPath(platform::ObjectKind::kConfiguration, cursor.after(),
                           platform::ReadConsistency::kLinearizable));
    if (!body) {
      return Error{ErrorCode::kUnavailable, std::string(kInForce),
                   "the platform's store at " + options.platform +
                       " cannot be read: " + body.error().detail};
    }
    const auto page = platform::DecodeList(platform::ObjectKind::kConfiguration,
                                           body.value(), listed);
    if (!page) {
      return Error{ErrorCode::kUnavailable, std::string(kInForce),
                   "the platform's store answered with something else: " +
                       ToString(page.error())};
    }
    has_more = page.value().has_more;
    if (has_more && !cursor.Advance(page.value())) {
      return Error{ErrorCode::kUnavailable, std::string(kInForce),
                   "the platform's store cannot be read: its list does not "
                   "continue after " +
                       Json(cursor.after()).dump()};
    }
  }
  // Daemons keep the highest version that they can decode.
  const auto version = [](const platform::StoredObject& object) {
    std::vector<Error> faults;
    const auto decoded = platform::DecodeConfiguration(object.content, faults);
    return decoded ? std::optional(decoded.value().version()) : std::nullopt;
  };
  const auto& objects = listed.objects();
  const auto newest = std::ranges::max_element(objects, {}, version);
  if (newest == objects.end() || !version(*newest)) {
    return Error{ErrorCode::kNotFound, std::string(kInForce),
                 "the platform's store holds no usable configuration"};
  }
  return newest->content;
}

Result<Json> ReadOther(const ClientOptions& options, const std::string& other) {
  if (other == kInForce) return FetchInForce(options);
  const auto text = ReadBounded(other);
  if (!text) return text.error();
  std::vector<Finding> findings;
  Json content = platform::ReadDocument(text.value(), findings).content;
  std::vector<Error> faults;
  const auto decoded = platform::DecodeConfiguration(content, faults);
  if (!decoded) {
    return Error{ErrorCode::kIo, other,
                 "is no usable configuration: " + ToString(decoded.error())};
  }
  return content;
}

size_t Count(const std::vector<Finding>& findings, Severity severity) {
  return static_cast<size_t>(
      std::ranges::count(findings, severity, &Finding::severity));
}

void PrintJson(const std::string& file, const std::vector<Finding>& findings) {
  Json list = Json::array();
  for (const Finding& finding : findings) {
    list.push_back({{"severity", ToString(finding.severity)},
                    {"path", finding.path},
                    {"message", finding.message},
                    {"expected", finding.expected}});
  }
  const Json report = {{"file", file},
                       {"errors", Count(findings, Severity::kError)},
                       {"warnings", Count(findings, Severity::kWarning)},
                       {"changes", Count(findings, Severity::kChange)},
                       {"findings", std::move(list)}};
  // A file's name, or what a syntax error quotes, may not be UTF-8.
  std::cout << report.dump(kJsonIndent, ' ', false,
                           Json::error_handler_t::replace)
            << "\n";
}

void PrintText(const std::string& file, const std::vector<Finding>& findings) {
  for (const Finding& finding : findings) {
    std::cout << ToString(finding.severity) << " "
              << (finding.path.empty() ? "document" : finding.path) << ": "
              << finding.message;
    if (!finding.expected.empty()) {
      std::cout << " (expected: " << finding.expected << ")";
    }
    std::cout << "\n";
  }
  std::cout << file << ": errors " << Count(findings, Severity::kError)
            << ", warnings " << Count(findings, Severity::kWarning)
            << ", changes " << Count(findings, Severity::kChange) << "\n";
}

ExitCode Check(const ClientOptions& options, Arguments arguments) {
  platform::NodeSettings node;
  if (options.node) {
    auto loaded = platform::LoadNodeSettings(*options.node);
    if (!loaded) return ReportError(loaded.error());
    node = std::move(loaded).value();
  }
  const auto text = ReadBounded(arguments[0]);
  if (!text) return ReportError(text.error());
  std::vector<Finding> findings;
  const auto document = platform::ReadDocument(text.value(), findings);
  std::optional<Error> failure;
  if (!document.content.is_discarded()) {
    const auto add = [&](std::vector<Finding> found) {
      for (Finding& finding : found) {
        finding.path.insert(0, document.path);
        findings.push_back(std::move(finding));
      }
    };
    add(platform::CheckConfiguration(document.content, node));
    if (options.against) {
      const Result<Json> other = ReadOther(options, *options.against);
      if (other) {
        add(platform::CompareConfigurations(other.value(), document.content));
      } else {
        failure = other.error();
      }
    }
  }
  std::ranges::stable_sort(findings, {}, &Finding::severity);
  if (options.output == OutputFormat::kJson) {
    PrintJson(arguments[0], findings);
  } else {
    PrintText(arguments[0], findings);
  }
  if (failure) return ReportError(*failure);
  if (Count(findings, Severity::kError) > 0) return ExitCode::kCheckErrors;
  return Count(findings, Severity::kWarning) > 0 ? ExitCode::kCheckWarnings
                                                 : ExitCode::kOk;
}

constexpr std::array kCommands = {
    Command{"check", "", "FILE", 1,
            "check a configuration before it is written", Check},
};

}  // namespace

std::span<const Command> CheckCommands() { return kCommands; }

}  // namespace dogwoodlatch::cli
