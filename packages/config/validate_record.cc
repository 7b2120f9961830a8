#include "config/validate_record.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <set>
#include <string>
#include <utility>
#include <variant>

#include "base/field_failure.h"

namespace toucanhollow {
namespace {

// Upper bounds that no real configuration reaches; they catch typing errors.
constexpr int kMaxRanks = 4096;
constexpr int kMaxExperts = 4096;
constexpr int kMaxFullLimit = 100'000;
constexpr double kMaxWeight = 1'000'000;
constexpr std::size_t kMaxNameBytes = 128;

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

bool IsName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::ranges::all_of(text, IsNameCharacter);
}

// Whether the text is a dotted IPv4 address. Processes connect by IP address,
// so that no name service is needed.
bool IsIpv4(const std::string& text) {
  int parts = 0;
  std::size_t begin = 0;
  while (begin <= text.size()) {
    const std::size_t end = std::min(text.find('.', begin), text.size());
    const std::string part = text.substr(begin, end - begin);
    if (part.empty() || part.size() > 3 ||
        !std::ranges::all_of(part,
                             [](char c) { return c >= '0' && c <= '9'; }) ||
        std::stoi(part) > 255) {
      return false;
    }
    ++parts;
    begin = end + 1;
  }
  return parts == 4;
}

struct ContentChecker {
  std::vector<Failure>& failures;

  void CheckName(const std::string& field, const std::string& value) const {
    if (value.empty()) {
      this->failures.push_back(MissingField(field, "give a name"));
    } else if (!IsName(value)) {
      this->failures.push_back(InvalidField(
          field, value, "use up to 128 letters, digits, '-', '_' and '.'"));
    }
  }

  void CheckCount(const std::string& field, int value, int max) const {
    if (value < 1 || value > max) {
      this->failures.push_back(
          InvalidField(field, std::to_string(value),
                       "use a number from 1 to " + std::to_string(max)));
    }
  }

  void CheckWeight(const std::string& field, double value) const {
    if (!std::isfinite(value) || value < 0 || value > kMaxWeight) {
      this->failures.push_back(InvalidField(field, std::to_string(value),
                                            "use a number from 0 to 1000000"));
    }
  }

  void CheckAccounts(const AccountShares& accounts) const {
    for (const auto& [account, share] : accounts) {
      this->CheckName("accounts", account.value);
      this->CheckShare("accounts[" + account.value + "].share", share);
    }
  }

  // A share of 0 would starve the account without refusing its requests.
  void CheckShare(const std::string& field, double value) const {
    if (!std::isfinite(value) || value <= 0 || value > kMaxWeight) {
      this->failures.push_back(
          InvalidField(field, std::to_string(value),
                       "use a number above 0 and up to 1000000"));
    }
  }

  void operator()(const ModelGroupContent& group) const {
    this->CheckName("model", group.model);
    this->CheckCount("ranks", group.ranks, kMaxRanks);
    this->CheckCount("experts", group.experts, kMaxExperts);
    if (group.slots_per_rank != 0 &&
        (group.slots_per_rank > group.experts ||
         group.slots_per_rank * group.ranks < group.experts)) {
      this->failures.push_back(InvalidField(
          "slots_per_rank", std::to_string(group.slots_per_rank),
          "use at most the number of experts, and enough for all ranks "
          "together to hold every expert"));
    }
    this->CheckAccounts(group.accounts);
    this->CheckWeight("weight", group.weight);
    this->CheckCount("full_limit", group.full_limit, kMaxFullLimit);
  }

  void operator()(const PlainServiceContent& service) const {
    constexpr std::array<std::string_view, 7> kMethods = {
        "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};
    this->CheckAccounts(service.accounts);
    this->CheckCount("full_limit", service.full_limit, kMaxFullLimit);
    std::set<std::pair<std::string, std::string>> seen;
    for (const CallRule& rule : service.calls) {
      if (std::ranges::find(kMethods, rule.method) == kMethods.end()) {
        this->failures.push_back(InvalidField("calls.method", rule.method,
                                              "use an HTTP method, such as "
                                              "GET"));
      }
      if (!rule.path_prefix.starts_with('/')) {
        this->failures.push_back(InvalidField(
            "calls.path_prefix", rule.path_prefix, "begin it with '/'"));
      }
      if (!seen.emplace(rule.method, rule.path_prefix).second) {
        this->failures.push_back(
            InvalidField("calls", rule.method + " " + rule.path_prefix,
                         "list each method and prefix once"));
      }
    }
  }

  void operator()(const AccountContent& account) const {
    this->CheckShare("share", account.share);
  }

  void operator()(const DataCentreContent& data_centre) const {
    if (!data_centre.region.empty()) {
      this->CheckName("region", data_centre.region);
    }
  }

  void operator()(const EndpointContent& endpoint) const {
    this->CheckName("service", endpoint.service.value);
    this->CheckName("data_centre", endpoint.data_centre.value);
    if (endpoint.addresses.empty()) {
      this->failures.push_back(
          MissingField("addresses", "give at least one <ip>:<port>"));
    }
    for (const Address& address : endpoint.addresses) {
      if (!IsIpv4(address.ip) || address.port == 0) {
        this->failures.push_back(InvalidField(
            "addresses", address.ip + ":" + std::to_string(address.port),
            "use <IPv4 address>:<port from 1 to 65535>"));
      }
    }
    this->CheckWeight("weight", endpoint.weight);
    if (endpoint.full_limit) {
      this->CheckCount("full_limit", *endpoint.full_limit, kMaxFullLimit);
    }
    if (endpoint.rank && (*endpoint.rank < 0 || *endpoint.rank >= kMaxRanks)) {
      this->failures.push_back(InvalidField("rank",
                                            std::to_string(*endpoint.rank),
                                            "use a number from 0 to 4095"));
    }
  }
};

}  // namespace

std::vector<Failure> ValidateRecord(const ConfigSubject& subject,
                                    const ConfigContent& content) {
  std::vector<Failure> failures;
  const ContentChecker checker{failures};
  checker.CheckName("subject", subject.name);
  std::visit(checker, content);
  return failures;
}

std::vector<Failure> ValidateEnvelope(const PublishedRecord& record) {
  std::vector<Failure> failures;
  const ContentChecker checker{failures};
  checker.CheckName("kind", record.subject.kind);
  checker.CheckName("subject", record.subject.name);
  checker.CheckName("change_id", record.copy.change_id);
  if (record.expected_revision < 0) {
    failures.push_back(InvalidField(
        "expected_revision", std::to_string(record.expected_revision),
        "use the revision shown for the subject, or 0 for a new one"));
  }
  if (record.copy.schema < kOldestSchema) {
    failures.push_back(InvalidField(
        "schema", std::to_string(record.copy.schema), "use 1 or 2"));
  }
  return failures;
}

}  // namespace toucanhollow
