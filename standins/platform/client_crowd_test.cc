// The memory of the real program while many clients send what no sound client
// sends. The limits are low, so that a small crowd is enough.
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "http_stream/tcp_connection.h"
#include "standins/platform/client_crowd.h"
#include "standins/platform/large_body.h"
#include "standins/platform/relay_process.h"

namespace toucanhollow {
namespace {

constexpr std::size_t kKibibyte = 1024;
constexpr std::size_t kMebibyte = kKibibyte * kKibibyte;
constexpr std::size_t kMemoryMb = 64;
constexpr int kManyClients = 1000;
constexpr int kLargeBodyClients = 150;
constexpr std::size_t kMaxHeaderBytes = 16 * kKibibyte;
constexpr std::size_t kMaxBodyBytes = 4 * kMebibyte;
// Longer than a request takes to be refused or answered here.
constexpr Duration kServerDelay = Seconds(6);

constexpr const char* kChunked = "Transfer-Encoding: chunked\r\n";

std::shared_ptr<const std::string> Shared(std::string text) {
  return std::make_shared<const std::string>(std::move(text));
}

std::string Chunk(std::size_t bytes) {
  std::ostringstream text;
  text << std::hex << bytes << "\r\n" << std::string(bytes, 'c') << "\r\n";
  return text.str();
}

std::string Id(int number) {
  return "c" + std::to_string(number);
}

// A body in chunks of one size that ends before its last chunk.
ClientScript UnfinishedChunks(int number,
                              std::size_t chunk,
                              std::size_t bytes) {
  return {Head(Id(number), kChunked), Shared(Chunk(chunk)), bytes / chunk, ""};
}

// A head of the largest size with as many fields as are allowed. Without its
// last line if `ends` is false.
std::string HeadOfManyFields(int number, bool ends) {
  constexpr int kFields = 250;
  std::string head = Request("GET", "/s/x", Id(number));
  head.resize(head.size() - 2);
  const std::size_t field_bytes =
      (kMaxHeaderBytes - head.size() - kKibibyte) / kFields;
  for (int i = 0; i < kFields; ++i) {
    std::string field = "F" + std::to_string(i) + ": ";
    field.append(field_bytes - field.size() - 2, 'v');
    head += field + "\r\n";
  }
  return ends ? head + "\r\n" : head;
}

// Clients of a port that takes no bodies.
void AddToPort(ClientCrowd& crowd, const Address& port) {
  const auto bytes = Shared(std::string(64 * kKibibyte, '0'));
  const std::string starts[] = {
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000000\r\n\r\n",
      std::string("POST / HTTP/1.1\r\nHost: h\r\n") + kChunked +
          "\r\nffffffff\r\n",
      "GET / HTTP/1.1\r\nHost: h\r\nX: ",
      std::string("POST / HTTP/1.1\r\nHost: h\r\n") + kChunked + "\r\n1;"};
  for (int i = 0; i < kLargeBodyClients; ++i) {
    crowd.Add(port, {starts[i % 4], bytes, 256, "", i % 2 == 0});
  }
}

// Datagrams of the largest size, which mean nothing.
void SendDatagrams(const Address& host) {
  constexpr int kDatagrams = 100;
  constexpr std::size_t kDatagramBytes = 65'000;
  const int sender = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(host.port);
  inet_pton(AF_INET, host.ip.c_str(), &address.sin_addr);
  const std::string bytes(kDatagramBytes, 'd');
  for (int i = 0; i < kDatagrams; ++i) {
    sendto(sender, bytes.data(), bytes.size(), MSG_DONTWAIT,
           reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  }
  close(sender);
}

struct CrowdSite : RelayProcess {
  ClientCrowd crowd;
  std::size_t descriptors_before = 0;
  std::size_t highest = 0;
  std::size_t peak_resident = 0;
  std::size_t highest_unread = 0;

  CrowdSite() : RelayProcess(Seconds(4), kMemoryMb) {
    RaiseDescriptorLimit();
    this->store.Put("keyed.op", "config", LargeBodyConfig());
    for (const auto& [id, server] :
         {std::pair{"i-1", &this->first}, {"i-2", &this->second}}) {
      this->store.Put("keyed.servers", id,
                      R"({"service":"ledger","address":"127.0.0.1:)" +
                          std::to_string(server->Port()) +
                          R"(","zone":"west","slots":2000,"state":"ready",)" +
                          R"("born":1700000000000})");
    }
    REQUIRE(this->RunUntil([this] {
      return Ask(*this, LengthHead("probe", 2000) + std::string(2000, 'p'))
                 .status == 200;
    }));
    // Both servers are used with their slots once the second one is.
    REQUIRE(this->RunUntil([this] {
      return Ask(*this, Request("GET", "/s/x", "slots")).status == 200 &&
             !this->second.runs.empty();
    }));
    this->first.CloseSessions();
    this->second.CloseSessions();
    this->RunFor(Milliseconds(200));
    this->descriptors_before = CountDescriptors(this->process->pid());
  }

  // Answers the next requests with a script.
  void AnswerWith(const ScriptedAnswer& answer) {
    this->first.script.assign(2 * kManyClients, answer);
    this->second.script.assign(2 * kManyClients, answer);
  }

  void Sample() {
    const pid_t pid = this->process->pid();
    const std::size_t unread = UnreadBytes(pid);
    this->peak_resident = std::max(this->peak_resident, PeakResidentBytes(pid));
    this->highest_unread = std::max(this->highest_unread, unread);
    this->highest = std::max(this->highest, this->peak_resident + unread);
  }

  // Lets the crowd send until no byte has moved for a while.
  void Play(Duration longest = Seconds(8)) {
    constexpr Duration kSamplePeriod = Milliseconds(40);
    constexpr Duration kQuiet = Milliseconds(1500);
    TimePoint now = EventLoop::Now();
    const TimePoint end = now + longest;
    TimePoint moved_at = now;
    TimePoint sampled_at;
    while (now < end && now - moved_at < kQuiet && this->process->IsRunning()) {
      moved_at = this->crowd.Advance() ? now : moved_at;
      if (now - sampled_at >= kSamplePeriod) {
        sampled_at = now;
        this->Sample();
      }
      this->RunFor(Milliseconds(2));
      now = EventLoop::Now();
    }
    this->Sample();
  }

  // Ends the crowd, and checks what must hold whatever it has sent.
  void Check() {
    this->crowd.Leave();
    this->first.script.clear();
    this->second.script.clear();
    const bool descriptors_are_back = this->RunUntil(
        [this] {
          // As servers close idle connections; requests that waited open more.
          this->first.CloseSessions();
          this->second.CloseSessions();
          return CountDescriptors(this->process->pid()) <=
                 this->descriptors_before;
        },
        Seconds(20));
    const int status = Ask(*this, Request("GET", "/s/x", "after")).status;
    UNSCOPED_INFO("peak " << this->peak_resident / kKibibyte << " KB resident, "
                          << this->highest_unread / kKibibyte << " KB unread, "
                          << this->highest / kKibibyte
                          << " KB together; descriptors "
                          << CountDescriptors(this->process->pid()) << " of "
                          << this->descriptors_before << "; status " << status);
    CHECK(this->process->IsRunning());
    CHECK(this->peak_resident > 0);
    CHECK(this->highest <= kMemoryMb * kMebibyte);
    CHECK(descriptors_are_back);
    CHECK(status == 200);
  }
};

// Guards against bodies that are held without a bound while their end is
// missing.
TEST_CASE("a crowd with unfinished bodies in large chunks") {
  CrowdSite site;
  for (int i = 0; i < kLargeBodyClients; ++i) {
    site.crowd.Add(site.settings.callers,
                   UnfinishedChunks(i, 64 * kKibibyte, kMaxBodyBytes));
  }
  site.Play();
  site.Check();
}

TEST_CASE("a crowd with unfinished bodies in very small chunks") {
  CrowdSite site;
  for (int i = 0; i < kLargeBodyClients; ++i) {
    site.crowd.Add(site.settings.callers,
                   UnfinishedChunks(i, i % 2 == 0 ? 1 : 7, 200 * kKibibyte));
  }
  site.Play();
  site.Check();
}

// Guards against what an unfinished body and the line behind it hold beyond
// what is counted for a small request.
TEST_CASE("a crowd with small unfinished bodies and chunk lines") {
  CrowdSite site;
  for (int i = 0; i < kManyClients; ++i) {
    ClientScript script = UnfinishedChunks(i, 1000, 16'000);
    script.end = "1;" + std::string(kMaxHeaderBytes - 100, 'x');
    site.crowd.Add(site.settings.callers, std::move(script));
  }
  site.Play();
  site.Check();
}

TEST_CASE("a crowd with bodies far over the limit that are announced") {
  CrowdSite site;
  for (int i = 0; i < kLargeBodyClients; ++i) {
    site.crowd.Add(site.settings.callers,
                   {LengthHead(Id(i), 16 * kMaxBodyBytes),
                    Shared(std::string(64 * kKibibyte, 'b')), 1024, ""});
  }
  site.Play();
  site.Check();
}

TEST_CASE("a crowd with bodies that are announced and not sent") {
  CrowdSite site;
  for (int i = 0; i < kManyClients; ++i) {
    site.crowd.Add(
        site.settings.callers,
        {LengthHead(Id(i), i % 2 == 0 ? kMaxBodyBytes : 16 * kMaxBodyBytes),
         nullptr, 0, ""});
  }
  site.Play();
  site.Check();
}

TEST_CASE("a crowd with bodies far over the limit that are not announced") {
  CrowdSite site;
  for (int i = 0; i < kLargeBodyClients; ++i) {
    site.crowd.Add(site.settings.callers,
                   UnfinishedChunks(i, 64 * kKibibyte, 16 * kMaxBodyBytes));
  }
  site.Play();
  site.Check();
}

TEST_CASE("a crowd with a chunk without end") {
  CrowdSite site;
  for (int i = 0; i < kLargeBodyClients; ++i) {
    site.crowd.Add(site.settings.callers,
                   {Head(Id(i), kChunked) +
                        (i % 2 == 0 ? "ffffffff\r\n" : "7fffffffffffffff\r\n"),
                    Shared(std::string(64 * kKibibyte, 'b')), 1024, ""});
  }
  site.Play();
  site.Check();
}

TEST_CASE("a crowd with extensions, chunk lines and trailers without end") {
  CrowdSite site;
  const std::string endings[] = {"1;name=", "1;a=\"", "0000000000",
                                 "0\r\nT: ", "0\r\n"};
  const auto bytes = Shared(std::string(32 * kKibibyte, '0'));
  const auto fields = Shared("T: v\r\n");
  for (int i = 0; i < kManyClients; ++i) {
    const bool is_fields = i % 5 == 4;
    site.crowd.Add(site.settings.callers,
                   {Head(Id(i), kChunked) + Chunk(1000) + endings[i % 5],
                    is_fields ? fields : bytes,
                    is_fields ? std::size_t{5000} : std::size_t{64}, ""});
  }
  site.Play();
  site.Check();
}

// Guards against heads that take many times their bytes once they are parsed.
TEST_CASE("a crowd with unfinished heads of many fields") {
  CrowdSite site;
  for (int i = 0; i < kManyClients; ++i) {
    site.crowd.Add(site.settings.callers,
                   {HeadOfManyFields(i, false), nullptr, 0, ""});
  }
  site.Play(Seconds(2));
  site.Check();
}

TEST_CASE("a crowd with heads of many fields and unfinished chunk lines") {
  CrowdSite site;
  for (int i = 0; i < kManyClients; ++i) {
    ClientScript script = UnfinishedChunks(i, 1000, 16'000);
    script.start = HeadOfManyFields(i, false) + kChunked + "\r\n";
    script.end = "1;" + std::string(kMaxHeaderBytes - 100, 'x');
    site.crowd.Add(site.settings.callers, std::move(script));
  }
  site.Play(Seconds(2));
  site.Check();
}

// Guards against freed memory that the allocator keeps beside what is held
// next.
TEST_CASE("a crowd with heads of many fields before one with large bodies") {
  constexpr int kWaves = 3;
  CrowdSite site;
  for (int wave = 0; wave < kWaves; ++wave) {
    for (int i = 0; i < kManyClients; ++i) {
      site.crowd.Add(site.settings.callers,
                     {HeadOfManyFields(i, false), nullptr, 0, ""});
    }
    site.Play(Seconds(2));
    site.crowd.Leave();
    for (int i = 0; i < kLargeBodyClients; ++i) {
      site.crowd.Add(site.settings.callers,
                     UnfinishedChunks(i, 64 * kKibibyte, kMaxBodyBytes));
    }
    site.Play(Seconds(2));
    site.crowd.Leave();
  }
  site.Check();
}

TEST_CASE("a crowd with heads of many fields that are being answered") {
  CrowdSite site;
  site.AnswerWith(DelayedAnswer(kServerDelay));
  for (int i = 0; i < kManyClients; ++i) {
    site.crowd.Add(site.settings.callers,
                   {HeadOfManyFields(i, true), nullptr, 0, ""});
  }
  site.Play(Seconds(4));
  site.Check();
}

// Guards against the receive buffers of connections that are not read while a
// request is being answered.
TEST_CASE("a crowd that sends on while its requests are being answered") {
  CrowdSite site;
  site.AnswerWith(DelayedAnswer(kServerDelay));
  const auto later = Shared(Request("GET", "/s/x", "later"));
  for (int i = 0; i < kManyClients; ++i) {
    site.crowd.Add(site.settings.callers,
                   {Request("GET", "/s/x", Id(i)), later, 10'000, ""});
  }
  site.Play(Seconds(4));
  site.Check();
}

TEST_CASE("a crowd that sends on and reads none of its large answers") {
  CrowdSite site;
  site.AnswerWith(SealedAnswer(std::string(300'000, 'a')));
  const auto later = Shared(Request("GET", "/s/x", "later"));
  for (int i = 0; i < kManyClients; ++i) {
    site.crowd.Add(site.settings.callers,
                   {Request("GET", "/s/x", Id(i)), later, 10'000, "", false});
  }
  site.Play(Seconds(4));
  site.Check();
}

// Callers that are idle behind a large body each, on kept connections.
std::vector<std::unique_ptr<Caller>> IdleCallers(CrowdSite& site, int count) {
  constexpr std::size_t kBodyBytes = 200'000;
  std::vector<std::unique_ptr<Caller>> callers;
  int served = 0;
  for (int i = 0; i < count; ++i) {
    auto caller = std::make_unique<Caller>(site.loop, site.settings.callers);
    caller->connection->Write(LengthHead(Id(i), kBodyBytes) +
                              std::string(kBodyBytes, 'b'));
    site.RunUntil([&] { return caller->parser.done() || caller->ended; });
    served += caller->parser.done() && caller->parser.head().status == 200;
    caller->parser = ResponseParser(true);
    callers.push_back(std::move(caller));
  }
  CHECK(served == count);
  return callers;
}

// Guards against receive buffers of idle connections that count as if they were
// full.
TEST_CASE("idle connections that have sent large bodies leave memory") {
  constexpr int kIdleCallers = 75;
  constexpr std::size_t kBodyBytes = 1'000'000;
  CrowdSite site;
  auto callers = IdleCallers(site, kIdleCallers);
  CHECK(
      Ask(site, LengthHead("large", kBodyBytes) + std::string(kBodyBytes, 'b'))
          .status == 200);
  site.Sample();
  callers.clear();
  site.Check();
}

// Guards against large receive buffers that are not counted once connections
// have been idle.
TEST_CASE("a crowd that sends on, on connections that have sent large bodies") {
  constexpr int kIdleCallers = 600;
  CrowdSite site;
  auto callers = IdleCallers(site, kIdleCallers);
  site.AnswerWith(DelayedAnswer(kServerDelay));
  std::string later;
  while (later.size() < 128 * kKibibyte) {
    later += Request("GET", "/s/x", "later");
  }
  for (const auto& caller : callers) {
    if (!caller->ended) {
      caller->connection->Write(later);
    }
  }
  const TimePoint end = EventLoop::Now() + Seconds(4);
  while (EventLoop::Now() < end) {
    site.RunFor(Milliseconds(10));
    site.Sample();
  }
  callers.clear();
  site.Check();
}

// Guards against bodies that pile up for servers that read nothing.
TEST_CASE("a crowd with whole bodies for servers that read nothing") {
  CrowdSite site;
  // The kernel takes connections that no one accepts.
  const int listening = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* raw = reinterpret_cast<sockaddr*>(&address);
  REQUIRE(bind(listening, raw, size) == 0);
  REQUIRE(listen(listening, kManyClients) == 0);
  REQUIRE(getsockname(listening, raw, &size) == 0);
  for (const char* id : {"i-1", "i-2"}) {
    site.store.Put("keyed.servers", id,
                   R"({"service":"ledger","address":"127.0.0.1:)" +
                       std::to_string(ntohs(address.sin_port)) +
                       R"(","zone":"west","slots":2000,"state":"ready",)" +
                       R"("born":1700000000000})");
  }
  // Requests go to the new addresses once the earlier ones get none.
  const auto runs = [&site] {
    return site.first.runs.size() + site.second.runs.size();
  };
  int asked = 0;
  REQUIRE(site.RunUntil([&] {
    const std::size_t before = runs();
    const std::string id = "moved" + std::to_string(asked++);
    std::string request = Request("GET", "/s/x", id);
    Ask(site, request.replace(request.find("1500"), 4, "100"));
    return runs() == before;
  }));
  const auto large = Shared(std::string(kMaxBodyBytes, 'b'));
  const auto small = Shared(std::string(15 * kKibibyte, 'b'));
  for (int i = 0; i < kManyClients; ++i) {
    const auto& body = i % 8 == 0 ? large : small;
    site.crowd.Add(site.settings.callers,
                   {LengthHead(Id(i), body->size()), body, 1, ""});
  }
  site.Play(Seconds(4));
  close(listening);
  for (const auto& [id, server] :
       {std::pair{"i-1", &site.first}, {"i-2", &site.second}}) {
    site.store.Put("keyed.servers", id,
                   R"({"service":"ledger","address":"127.0.0.1:)" +
                       std::to_string(server->Port()) +
                       R"(","zone":"west","slots":2000,"state":"ready",)" +
                       R"("born":1700000000001})");
  }
  site.RunFor(Seconds(4));
  site.Check();
}

// Guards against what the ports for the balancer, other hosts and metrics take.
TEST_CASE("a crowd at the ports beside that for callers") {
  CrowdSite site;
  const std::string& ip = site.settings.control.ip;
  for (const Address& port : {site.settings.readiness, site.settings.control,
                              Address{ip, site.settings.metrics_port},
                              Address{ip, site.settings.report_port}}) {
    AddToPort(site.crowd, port);
  }
  for (const std::uint16_t port :
       {site.settings.report_port, site.settings.permit_port}) {
    SendDatagrams({ip, port});
  }
  site.Play(Seconds(4));
  site.Check();
}

// The agent has no limit in its settings. Its machine has 128 MB.
TEST_CASE("a crowd at the ports of a rank agent") {
  constexpr std::size_t kAgentMemoryMb = 128;
  RaiseDescriptorLimit();
  std::string pattern =
      (std::filesystem::temp_directory_path() / "agent_XXXXXX").string();
  REQUIRE(mkdtemp(pattern.data()) != nullptr);
  const std::filesystem::path directory = pattern;
  const Address agent = NextOwnAddress();
  const Address metrics = NextOwnAddress();
  const auto port = [](const Address& address) {
    return address.ip + ":" + std::to_string(address.port);
  };
  std::ofstream(directory / "agent.ini")
      << "[process]\nname = agent\n[listen]\nagent = " << port(agent)
      << "\nmetrics = " << port(metrics)
      << "\n[engine]\naddress = 127.0.0.1:1\n";
  ChildProcess process({RelayProgram(), "--role=rank_agent",
                        "--settings=" + (directory / "agent.ini").string()},
                       directory / "agent.log");
  process.Start();
  Site site;
  const std::string question =
      "GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
  site.settings.callers = metrics;
  const auto is_answered = [&] { return Ask(site, question).status == 200; };
  REQUIRE(site.RunUntil(is_answered));
  const std::size_t descriptors_before = CountDescriptors(process.pid());
  ClientCrowd crowd;
  for (const Address& address : {agent, metrics}) {
    AddToPort(crowd, address);
  }
  std::size_t highest = 0;
  const TimePoint end = EventLoop::Now() + Seconds(4);
  while (EventLoop::Now() < end) {
    crowd.Advance();
    SendDatagrams(agent);
    highest = std::max(
        highest, PeakResidentBytes(process.pid()) + UnreadBytes(process.pid()));
    site.RunFor(Milliseconds(20));
  }
  crowd.Leave();
  const bool descriptors_are_back = site.RunUntil(
      [&] { return CountDescriptors(process.pid()) <= descriptors_before; },
      Seconds(20));
  UNSCOPED_INFO("peak " << highest / kKibibyte << " KB together; status "
                        << (is_answered() ? 200 : 0));
  CHECK(process.IsRunning());
  CHECK(highest > 0);
  CHECK(highest <= kAgentMemoryMb * kMebibyte);
  CHECK(descriptors_are_back);
  CHECK(is_answered());
  std::filesystem::remove_all(directory);
}

TEST_CASE("a crowd of all kinds") {
  CrowdSite site;
  site.AnswerWith(DelayedAnswer(kServerDelay));
  const auto bytes = Shared(std::string(64 * kKibibyte, '0'));
  const auto later = Shared(Request("GET", "/s/x", "later"));
  for (int i = 0; i < kManyClients; ++i) {
    const std::string id = Id(i);
    const ClientScript scripts[] = {
        UnfinishedChunks(i, 64 * kKibibyte, kMaxBodyBytes),
        UnfinishedChunks(i, 7, 100 * kKibibyte),
        UnfinishedChunks(i, 1, 15 * kKibibyte),
        UnfinishedChunks(i, 64 * kKibibyte, 16 * kMaxBodyBytes),
        {LengthHead(id, 16 * kMaxBodyBytes), bytes, 256, ""},
        {LengthHead(id, kMaxBodyBytes), nullptr, 0, ""},
        {Head(id, kChunked) + "1;name=", bytes, 64, ""},
        {HeadOfManyFields(i, false), nullptr, 0, ""},
        {HeadOfManyFields(i, true), nullptr, 0, ""},
        {Request("GET", "/s/x", id), later, 10'000, "", false}};
    site.crowd.Add(site.settings.callers, scripts[i % 10]);
  }
  site.Play();
  site.Check();
}

// Lists the servers of the site at these ports.
void ListServers(CrowdSite& site,
                 std::uint16_t first,
                 std::uint16_t second,
                 const std::string& born) {
  for (const auto& [id, port] :
       {std::pair{"i-1", first}, std::pair{"i-2", second}}) {
    site.store.Put("keyed.servers", id,
                   R"({"service":"ledger","address":"127.0.0.1:)" +
                       std::to_string(port) +
                       R"(","zone":"west","slots":2000,"state":"ready",)" +
                       R"("born":)" + born + "}");
  }
}

// Guards against names of prompt parts that are kept without a bound after
// their requests have been given up.
TEST_CASE("a crowd with long prompt parts whose requests are given up") {
  constexpr int kClients = 100;
  constexpr int kParts = 62;
  constexpr std::size_t kNameBytes = 230;
  constexpr std::size_t kOpenAtServer = 300;
  CrowdSite site;
  // A server that reads nothing.
  std::deque<int> open;
  auto listening = TcpListener::Listen(site.loop, {"127.0.0.1", 0},
                                       [&open](const int accepted) {
                                         open.push_back(accepted);
                                         if (open.size() > kOpenAtServer) {
                                           close(open.front());
                                           open.pop_front();
                                         }
                                       });
  REQUIRE(listening);
  const std::uint16_t port = listening.value()->Port();
  ListServers(site, port, port, "1700000000001");
  site.RunFor(Seconds(2));
  std::string parts;
  for (int i = 0; i < kParts; ++i) {
    std::string name = "p" + std::to_string(i);
    name.resize(kNameBytes, 'q');
    parts += name + ":10,";
  }
  std::string request =
      Request("GET", "/s/x", "parts",
              "X-Toucanhollow-Prompt-Prefix: " + parts + "\r\n");
  request.replace(request.find("1500"), 4, "30");
  const auto block = Shared(std::move(request));
  for (int i = 0; i < kClients; ++i) {
    site.crowd.Add(site.settings.callers, {"", block, 100'000, ""});
  }
  site.Play(Seconds(6));
  site.crowd.Leave();
  listening.value().reset();
  for (const int accepted : open) {
    close(accepted);
  }
  ListServers(site, site.first.Port(), site.second.Port(), "1700000000002");
  site.RunFor(Seconds(4));
  site.Check();
}

// Guards against the receive buffers of connections that wait to be accepted.
TEST_CASE("a crowd in the backlogs of the ports beside that for callers") {
  constexpr int kFirstClients = 100;
  constexpr int kLaterClients = 850;
  CrowdSite site;
  const Address ports[] = {
      site.settings.readiness, site.settings.control,
      Address{site.settings.control.ip, site.settings.metrics_port}};
  const std::string start = "GET / HTTP/1.1\r\nHost: h\r\nX: ";
  const auto bytes = Shared(std::string(64 * kKibibyte, '0'));
  for (int i = 0; i < kFirstClients; ++i) {
    for (const Address& port : ports) {
      site.crowd.Add(port, {start, nullptr, 0, ""});
    }
  }
  site.Play(Seconds(1));
  for (int i = 0; i < kLaterClients; ++i) {
    for (const Address& port : ports) {
      site.crowd.Add(port, {start, bytes, 64, ""});
    }
  }
  site.Play(Seconds(5));
  site.Check();
}

}  // namespace
}  // namespace toucanhollow
