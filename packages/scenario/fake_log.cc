#include "scenario/fake_log.h"

#include <memory>
#include <utility>

namespace toucanhollow {
namespace {

constexpr Duration kAppendTime = Milliseconds(2);
constexpr Duration kPollTimeout = Seconds(1);
// How soon a reader learns that the log does not answer.
constexpr Duration kUnreachable = Milliseconds(100);
// Wall time at the start of every run: a date within the range of the records.
constexpr WallTime kStart{std::chrono::seconds(1'800'000'000)};

}  // namespace

FakeLog::FakeLog(EventQueue& queue, FakeNetwork& network)
    : queue(queue), network(network) {}

void FakeLog::Apply(const Fault& fault) {
  this->active.push_back({fault, this->queue.Now() + fault.duration});
}

void FakeLog::SetRetention(Duration age) {
  this->retention = age;
}

void FakeLog::Preload(const std::string& stream, const std::string& payload) {
  std::vector<LogEntry>& entries = this->streams[stream].entries;
  entries.push_back({.offset = static_cast<LogOffset>(entries.size()) + 1,
                     .time = this->WallNow(),
                     .payload = payload});
}

WallTime FakeLog::WallNow() const {
  return kStart + this->queue.Now().time_since_epoch();
}

const FakeLog::Active* FakeLog::Find(FaultKind kind) const {
  for (const Active& entry : this->active) {
    if (entry.fault.kind == kind && entry.until > this->queue.Now()) {
      return &entry;
    }
  }
  return nullptr;
}

const std::vector<LogEntry>& FakeLog::Entries(const std::string& stream) {
  return this->streams[stream].entries;
}

LogRead FakeLog::EntriesFrom(const std::string& stream, LogOffset offset) {
  Stream& found = this->streams[stream];
  if (this->retention != Duration{0}) {
    for (const LogEntry& entry : found.entries) {
      if (this->WallNow() - entry.time > this->retention) {
        found.first = entry.offset + 1;
      }
    }
  }
  LogRead read{.reached = true,
               .first_offset = found.first,
               .end = static_cast<LogOffset>(found.entries.size())};
  for (const LogEntry& entry : found.entries) {
    if (entry.offset >= offset && entry.offset >= found.first) {
      read.entries.push_back(entry);
    }
  }
  return read;
}

void FakeLog::Append(const std::string& from,
                     const std::string& stream,
                     const std::vector<std::string>& payloads,
                     const std::function<void(LogOffset)>& answered) {
  this->network.Send(from, kPlatform, [=, this] {
    if (this->Find(FaultKind::kLogDown) != nullptr) {
      // An outage shows as a refused connection or as silence.
      if (this->queue.Draw() % 2 == 0) {
        this->network.Send(kPlatform, from, [answered] { answered(0); });
      }
      return;
    }
    const Active* slow = this->Find(FaultKind::kLogSlow);
    const Duration time = slow != nullptr ? slow->fault.delay : kAppendTime;
    this->queue.After(time, [=, this] {
      Stream& target = this->streams[stream];
      const auto first = static_cast<LogOffset>(target.entries.size()) + 1;
      for (const std::string& payload : payloads) {
        target.entries.push_back(
            {.offset = static_cast<LogOffset>(target.entries.size()) + 1,
             .time = this->WallNow(),
             .payload = payload});
      }
      for (auto& wake : std::exchange(target.waiting, {})) {
        wake();
      }
      if (this->Find(FaultKind::kLogAnswersLost) == nullptr) {
        this->network.Send(kPlatform, from, [=] { answered(first); });
      }
    });
  });
}

void FakeLog::Read(const std::string& from,
                   const std::string& stream,
                   LogOffset offset,
                   const std::function<void(LogRead)>& answered) {
  const auto fail = [=, this] {
    this->queue.After(kUnreachable, [answered] { answered({}); });
  };
  const auto done = std::make_shared<bool>(false);
  const auto answer = [=, this] {
    if (*done) {
      return;
    }
    *done = true;
    if (this->Find(FaultKind::kLogDown) != nullptr ||
        !this->network.Connected(from, kPlatform)) {
      fail();
      return;
    }
    LogRead read = this->EntriesFrom(stream, offset);
    const Active* slow = this->Find(FaultKind::kLogSlow);
    this->queue.After(
        slow != nullptr ? slow->fault.delay : Duration{0}, [=, this] {
          this->network.Send(kPlatform, from, [=] { answered(read); });
        });
  };
  if (this->Find(FaultKind::kLogDown) != nullptr ||
      !this->network.Connected(from, kPlatform)) {
    fail();
    return;
  }
  this->network.Send(from, kPlatform, [=, this] {
    Stream& target = this->streams[stream];
    const bool has_more =
        !target.entries.empty() && target.entries.back().offset >= offset;
    if (has_more) {
      answer();
      return;
    }
    target.waiting.push_back(answer);
    this->queue.After(kPollTimeout, answer);
  });
}

}  // namespace toucanhollow
