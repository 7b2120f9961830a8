#include "log_text/log.h"

#include <unistd.h>

#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include <boost/date_time/posix_time/posix_time.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>

#include "line_output/line_output.h"

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
      [name = std::string(process),
       output = std::make_shared<LineOutput>(STDERR_FILENO),
       dropped = std::int64_t{0}](std::string_view line) mutable {
        const std::string time = boost::posix_time::to_iso_extended_string(
            boost::posix_time::microsec_clock::universal_time());
        if (dropped > 0 &&
            output->WriteLine(time + " WARNING " + name + " [log] " +
                              std::to_string(dropped) +
                              " lines were dropped")) {
          dropped = 0;
        }
        const std::size_t space = line.find(' ');
        const bool written =
            output->WriteLine(time + ' ' + std::string(line.substr(0, space)) +
                              ' ' + name + std::string(line.substr(space)));
        dropped += written ? 0 : 1;
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
