#include "log_text/log.h"

#include <iostream>
#include <string>
#include <utility>

#include <boost/date_time/posix_time/posix_time.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>

namespace toucanhollow {
namespace {

namespace logging = boost::log;

using LineWriter = std::function<void(std::string_view line)>;

// Passes each formatted line to a function.
class LineSinkBackend
    : public logging::sinks::basic_formatted_sink_backend<char> {
 public:
  explicit LineSinkBackend(LineWriter writer) : writer(std::move(writer)) {}

  // NOLINTNEXTLINE(readability-identifier-naming): called by Boost.Log.
  void consume(const logging::record_view& /*record*/,
               const std::string& line) {
    this->writer(line);
  }

 private:
  LineWriter writer;
};

std::string_view GetSeverityName(Severity severity) {
  switch (severity) {
    case Severity::kDebug:
      return "DEBUG";
    case Severity::kInfo:
      return "INFO";
    case Severity::kWarning:
      return "WARNING";
    case Severity::kError:
      return "ERROR";
  }
  return "";
}

void InstallSink(LineWriter writer, Severity level) {
  using Sink = logging::sinks::synchronous_sink<LineSinkBackend>;
  auto core = logging::core::get();
  core->remove_all_sinks();
  core->add_sink(boost::make_shared<Sink>(
      boost::make_shared<LineSinkBackend>(std::move(writer))));
  core->set_filter([level](const logging::attribute_value_set& values) {
    const auto severity = values["Severity"].extract<Severity>();
    return !severity.empty() && severity.get() >= level;
  });
}

}  // namespace

void StartLog(std::string_view process, Severity level) {
  InstallSink(
      [name = std::string(process)](std::string_view line) {
        const auto now = boost::posix_time::microsec_clock::universal_time();
        const std::size_t space = line.find(' ');
        std::cerr << boost::posix_time::to_iso_extended_string(now) << ' '
                  << line.substr(0, space) << ' ' << name << line.substr(space)
                  << '\n';
      },
      level);
}

void StartLogTo(std::function<void(std::string_view line)> sink,
                Severity level) {
  InstallSink(std::move(sink), level);
}

void Log(Severity severity,
         std::string_view component,
         std::string_view message) {
  using Logger = logging::sources::severity_logger<Severity>;
  static thread_local Logger logger;
  logging::record record =
      logger.open_record(logging::keywords::severity = severity);
  if (!record) {
    return;
  }
  std::string sanitized(message);
  for (char& character : sanitized) {
    if (static_cast<unsigned char>(character) < 0x20) {
      character = '?';
    }
  }
  logging::record_ostream stream(record);
  stream << GetSeverityName(severity) << " [" << component << "] " << sanitized;
  stream.flush();
  logger.push_record(std::move(record));
}

}  // namespace toucanhollow
