#include "json_log/json_log.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <memory>
#include <utility>

#include <boost/log/core.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>

#include "json_log/fatal_signal.h"
#include "line_output/line_output.h"

namespace toucanhollow {
namespace {

namespace logging = boost::log;

using LineWriter = std::function<void(std::string_view line)>;

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

struct LogState {
  // LogJson writes nothing until StartJsonLog or StartJsonLogTo sets this.
  bool started = false;
  std::string process;
  LogRateLimit rate_limit;
  double tokens = 0;
  TimePoint refilled_at = {};
  std::int64_t dropped = 0;
};

LogState& State() {
  static LogState state;
  return state;
}

void InstallSink(LineWriter writer,
                 std::string_view process,
                 const LogRateLimit& rate_limit) {
  using Sink = logging::sinks::synchronous_sink<LineSinkBackend>;
  const auto core = logging::core::get();
  core->remove_all_sinks();
  core->add_sink(boost::make_shared<Sink>(
      boost::make_shared<LineSinkBackend>(std::move(writer))));
  State() = LogState{.started = true,
                     .process = std::string(process),
                     .rate_limit = rate_limit,
                     .tokens = rate_limit.burst_lines};
}

void AppendText(std::string& line, std::string_view text) {
  constexpr std::string_view kHex = "0123456789abcdef";
  line += '"';
  for (const char character : text) {
    const auto byte = static_cast<unsigned char>(character);
    if (character == '"' || character == '\\') {
      line += '\\';
      line += character;
    } else if (byte < 0x20 || byte >= 0x7f) {
      line += "\\u00";
      line += kHex[byte >> 4U];
      line += kHex[byte & 0xfU];
    } else {
      line += character;
    }
  }
  line += '"';
}

template <typename Number>
void AppendNumber(std::string& line, Number number) {
  std::array<char, 32> digits{};
  std::to_chars_result end{};
  if constexpr (std::is_floating_point_v<Number>) {
    end = std::to_chars(digits.data(), digits.data() + digits.size(), number,
                        std::chars_format::fixed, 3);
  } else {
    end = std::to_chars(digits.data(), digits.data() + digits.size(), number);
  }
  line.append(digits.data(), end.ptr);
}

void AppendField(std::string& line, const LogField& field) {
  line += ',';
  AppendText(line, field.name);
  line += ':';
  std::visit(
      [&line](const auto& value) {
        using Value = std::decay_t<decltype(value)>;
        if constexpr (std::is_same_v<Value, std::string_view>) {
          AppendText(line, value);
        } else if constexpr (std::is_same_v<Value, bool>) {
          line += value ? "true" : "false";
        } else {
          AppendNumber(line, value);
        }
      },
      field.value);
}

void PushRecord(const std::string& line) {
  static logging::sources::logger logger;
  logging::record record = logger.open_record();
  if (!record) {
    return;
  }
  logging::record_ostream stream(record);
  stream << line;
  stream.flush();
  logger.push_record(std::move(record));
}

void PushLine(std::string_view event,
              std::initializer_list<LogField> fields,
              WallTime now) {
  std::string line = "{\"time\":";
  AppendNumber(line, static_cast<double>(now.time_since_epoch().count()) / 1e6);
  line += ",\"process\":";
  AppendText(line, State().process);
  line += ",\"event\":";
  AppendText(line, event);
  for (const LogField& field : fields) {
    AppendField(line, field);
  }
  line += '}';
  PushRecord(line);
}

// Consumes one token of the rate limit; returns false if none is left.
bool TryAcquireToken(TimePoint now) {
  LogState& state = State();
  const double elapsed_s = ToMilliseconds(now - state.refilled_at) / 1000;
  state.refilled_at = now;
  state.tokens =
      std::min(state.rate_limit.burst_lines,
               state.tokens + elapsed_s * state.rate_limit.lines_per_s);
  if (state.tokens < 1) {
    return false;
  }
  state.tokens -= 1;
  return true;
}

}  // namespace

void StartJsonLog(std::string_view process, const LogRateLimit& rate_limit) {
  const auto output = std::make_shared<LineOutput>(STDOUT_FILENO);
  InstallSink(
      [output](std::string_view line) {
        State().dropped += output->WriteLine(line) ? 0 : 1;
      },
      process, rate_limit);
  std::string fields = ",\"process\":";
  AppendText(fields, process);
  fields += ",\"event\":\"fatal_signal\"";
  LogFatalSignals(std::move(fields));
}

void StartJsonLogTo(std::function<void(std::string_view line)> sink,
                    std::string_view process,
                    const LogRateLimit& rate_limit) {
  InstallSink(std::move(sink), process, rate_limit);
}

void LogJson(std::string_view event,
             std::initializer_list<LogField> fields,
             WallTime now,
             TimePoint monotonic_now) {
  LogState& state = State();
  if (!state.started) {
    return;
  }
  if (!TryAcquireToken(monotonic_now)) {
    ++state.dropped;
    return;
  }
  if (state.dropped > 0) {
    const std::int64_t dropped = std::exchange(state.dropped, 0);
    PushLine("log_dropped", {{"lines", dropped}}, now);
  }
  PushLine(event, fields, now);
}

void LogJsonNow(std::string_view event,
                std::initializer_list<LogField> fields) {
  const auto wall =
      std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
  const auto monotonic_now =
      std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
  LogJson(event, fields, WallTime(wall.time_since_epoch()),
          TimePoint(monotonic_now.time_since_epoch()));
}

}  // namespace toucanhollow
