#include "scenario/parse_scenario.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include <tao/pegtl.hpp>

#include "scenario/moment.h"

namespace toucanhollow {
namespace {

namespace pegtl = tao::pegtl;

// Values read so far. A finished statement moves `node` or `step` into
// `scenario`.
struct Draft {
  Scenario scenario;
  NodeSetup node;
  Step step;
  Duration duration{};
  std::int64_t number = 0;
};

// Tokens. Each swallows the blanks behind it.

struct NameChar : pegtl::sor<pegtl::alnum, pegtl::one<'-', '_'>> {};
struct Blanks : pegtl::star<pegtl::blank> {};

template <typename Rule>
struct Token : pegtl::seq<Rule, Blanks> {};

// A keyword that may be absent, where another statement can follow.
template <typename Text>
struct Word : pegtl::seq<Text, pegtl::not_at<NameChar>, Blanks> {};

// A keyword without alternative.
template <typename Text>
struct Need : pegtl::seq<Text, pegtl::not_at<NameChar>, Blanks> {};

#define WORD(text) Word<TAO_PEGTL_STRING(text)>
#define NEED(text) Need<TAO_PEGTL_STRING(text)>

struct NameText : pegtl::seq<pegtl::alpha, pegtl::star<NameChar>> {};

template <auto Member>
struct NodeName : NameText {};
template <auto Member>
struct ActionName : NameText {};
template <auto Member>
struct FaultName : NameText {};
struct DataCentre : NameText {};
struct WhenMoment : NameText {};
struct WhenAt : NameText {};

struct Title : pegtl::plus<pegtl::seq<pegtl::not_at<pegtl::eolf>, pegtl::any>> {
};
struct Digits : pegtl::plus<pegtl::digit> {};

// A token that holds one value and must be there.
template <typename Rule>
struct Value : Token<Rule> {};

struct InMilliseconds : WORD("ms") {};
struct InSeconds : WORD("s") {};
struct InMinutes : WORD("min") {};
struct Unit : pegtl::sor<InMilliseconds, InSeconds, InMinutes> {};
struct Length : pegtl::seq<Value<Digits>, Unit> {};

// `Rule` stored into a member, for keywords and numbers that set a field.

template <typename Rule, auto Member, auto Constant>
struct SetNode : Rule {};
template <typename Rule, auto Member, auto Constant>
struct SetAction : Rule {};
template <typename Rule, FaultKind Kind>
struct SetFault : Rule {};
template <ActionKind Kind, typename Rule>
struct Does : Rule {};
template <auto Member>
struct FaultLength : Length {};
template <auto Member>
struct ActionCount : pegtl::seq<Value<Digits>> {};
struct NodeRank : pegtl::seq<Value<Digits>> {};
struct Seed : pegtl::seq<Value<Digits>> {};
struct WhenTime : Length {};
struct Retention : Length {};

// Set-up.

struct TitleLine : pegtl::seq<WORD("scenario"), Value<Title>> {};
struct SeedLine : pegtl::seq<WORD("seed"), Seed> {};
struct StartsOut : WORD("out") {};
struct DataCentreLine : pegtl::seq<WORD("data"),
                                   NEED("centre"),
                                   Value<DataCentre>,
                                   pegtl::opt<StartsOut>> {};

struct Place : pegtl::seq<Value<NodeName<&NodeSetup::name>>,
                          NEED("in"),
                          Value<NodeName<&NodeSetup::data_centre>>> {};
struct Warmth
    : pegtl::opt<pegtl::sor<SetNode<WORD("cold"), &NodeSetup::warm, false>,
                            SetNode<WORD("warm"), &NodeSetup::warm, true>>> {};
struct Fencing
    : pegtl::opt<
          pegtl::sor<SetNode<pegtl::seq<WORD("without"), NEED("fencing")>,
                             &NodeSetup::fencing,
                             false>,
                     pegtl::seq<WORD("with"), NEED("fencing")>>> {};
struct Serving
    : pegtl::seq<NEED("serving"), Value<NodeName<&NodeSetup::service>>> {};
struct EntryHostLine
    : pegtl::seq<SetNode<pegtl::seq<WORD("entry"), NEED("host")>,
                         &NodeSetup::kind,
                         NodeKind::kEntryHost>,
                 Place> {};
struct EndpointLine : pegtl::seq<SetNode<WORD("endpoint"),
                                         &NodeSetup::kind,
                                         NodeKind::kServiceEndpoint>,
                                 Place,
                                 Serving,
                                 Warmth> {};
struct EngineLine
    : pegtl::seq<SetNode<WORD("engine"), &NodeSetup::kind, NodeKind::kEngine>,
                 Place,
                 Serving,
                 pegtl::opt<WORD("rank"), NodeRank>,
                 Warmth,
                 Fencing> {};
struct RetentionLine : pegtl::seq<WORD("log"), NEED("retention"), Retention> {};
struct NodeLine : pegtl::sor<EntryHostLine, EndpointLine, EngineLine> {};

// Actions.

template <auto Member>
using Named = Value<ActionName<Member>>;
using Subject = Named<&Action::subject>;

template <typename Rule, RequestKind Kind>
using RequestAs = SetAction<Rule, &Action::request_kind, Kind>;
struct RequestKindWord
    : pegtl::sor<RequestAs<WORD("stream"), RequestKind::kStreamedDraft>,
                 RequestAs<WORD("read"), RequestKind::kIdempotentRead>,
                 RequestAs<WORD("call"), RequestKind::kUnkeyedCall>> {};
struct Key : pegtl::opt<RequestAs<WORD("key"), RequestKind::kKeyedCall>,
                        Named<&Action::key>> {};
struct Request : pegtl::seq<Does<ActionKind::kRequest, WORD("request")>,
                            Subject,
                            RequestKindWord,
                            NEED("to"),
                            Named<&Action::service>,
                            NEED("by"),
                            Named<&Action::entry_host>,
                            Key> {};
struct TakeOut : pegtl::seq<Does<ActionKind::kTakeOut, WORD("take")>,
                            NEED("out"),
                            Subject> {};
struct BringBack : pegtl::seq<Does<ActionKind::kBringBack, WORD("bring")>,
                              NEED("back"),
                              Subject> {};
struct ChangeMap : pegtl::seq<Does<ActionKind::kChangeMap, WORD("change")>,
                              NEED("map"),
                              NEED("of"),
                              Subject> {};
struct ShutDown : pegtl::seq<Does<ActionKind::kShutDown, WORD("shut")>,
                             NEED("down"),
                             Subject> {};
struct ListAsLeaving
    : pegtl::seq<Does<ActionKind::kListAsLeaving, WORD("list")>,
                 Subject,
                 NEED("as"),
                 NEED("leaving")> {};
struct RestartEngine
    : pegtl::seq<Does<ActionKind::kRestartEngine, WORD("restart")>,
                 NEED("engine"),
                 NEED("of"),
                 Subject> {};
struct Start : pegtl::seq<Does<ActionKind::kStart, WORD("start")>, Subject> {};

// Faults.

using Target = Value<FaultName<&Fault::target>>;
using Peer = Value<FaultName<&Fault::peer>>;
struct Lasting : pegtl::seq<NEED("for"), FaultLength<&Fault::duration>> {};
struct Between
    : pegtl::seq<NEED("messages"), NEED("from"), Target, NEED("to"), Peer> {};
struct LogFault
    : pegtl::seq<
          WORD("log"),
          pegtl::sor<
              SetFault<WORD("down"), FaultKind::kLogDown>,
              pegtl::seq<SetFault<WORD("slow"), FaultKind::kLogSlow>,
                         NEED("by"),
                         FaultLength<&Fault::delay>>,
              pegtl::seq<SetFault<NEED("answers"), FaultKind::kLogAnswersLost>,
                         NEED("lost")>>,
          Lasting> {};
struct CutPeer
    : pegtl::sor<SetFault<WORD("platform"), FaultKind::kCutFromPlatform>,
                 SetFault<Peer, FaultKind::kCutDataCentres>> {};
struct FaultLine
    : pegtl::sor<
          LogFault,
          pegtl::seq<SetFault<WORD("stall"), FaultKind::kRankStall>,
                     Target,
                     Lasting>,
          pegtl::
              seq<SetFault<WORD("pause"), FaultKind::kPause>, Target, Lasting>,
          pegtl::seq<SetFault<WORD("kill"), FaultKind::kProcessDeath>, Target>,
          pegtl::seq<SetFault<WORD("turn"), FaultKind::kTurnCold>,
                     Target,
                     NEED("cold")>,
          pegtl::seq<SetFault<WORD("delay"), FaultKind::kLateMessages>,
                     Between,
                     NEED("by"),
                     FaultLength<&Fault::delay>,
                     Lasting>,
          pegtl::seq<SetFault<WORD("double"), FaultKind::kDoubledMessages>,
                     Between,
                     Lasting>,
          pegtl::seq<SetFault<WORD("lose"), FaultKind::kLostMessages>,
                     Between,
                     Lasting>,
          pegtl::seq<SetFault<WORD("race"), FaultKind::kOperatorsRace>,
                     NEED("operators"),
                     NEED("on"),
                     Target>,
          pegtl::seq<WORD("cut"), Target, NEED("from"), CutPeer, Lasting>> {};
using FaultAction = Does<ActionKind::kFault, FaultLine>;

// Expectations.

template <CallerOutcome Outcome, typename Rule>
struct OutcomeIs : Rule {};
struct OutcomeWord
    : pegtl::sor<OutcomeIs<CallerOutcome::kAnswered, WORD("answered")>,
                 OutcomeIs<CallerOutcome::kRefused, WORD("refused")>,
                 OutcomeIs<CallerOutcome::kUnknown, WORD("unknown")>> {};
struct AnotherOutcome : pegtl::seq<WORD("or"), OutcomeWord> {};
struct Outcomes : pegtl::seq<OutcomeWord, pegtl::star<AnotherOutcome>> {};
template <typename Rule>
using AtMost = SetAction<Rule, &Action::at_most, true>;
struct OptAtMost : pegtl::opt<AtMost<pegtl::seq<WORD("at"), NEED("most")>>> {};
using Count = ActionCount<&Action::count>;
struct Runs : pegtl::seq<Does<ActionKind::kExpectRuns, WORD("runs")>,
                         OptAtMost,
                         Count,
                         NEED("times")> {};
struct Bears : pegtl::seq<Does<ActionKind::kExpectLoad, WORD("bears")>,
                          NEED("at"),
                          NEED("most"),
                          Count> {};
using Exited = Does<ActionKind::kExpectExited, WORD("exited")>;
struct InForce
    : pegtl::seq<
          Does<ActionKind::kExpectRecord, WORD("is")>,
          pegtl::sor<SetAction<WORD("out"), &Action::out, true>,
                     pegtl::seq<SetAction<NEED("in"), &Action::out, false>,
                                NEED("service")>>,
          NEED("everywhere")> {};
struct UsesMap : pegtl::seq<Does<ActionKind::kExpectMapVersion, WORD("uses")>,
                            NEED("map"),
                            Count> {};
struct Predicate : pegtl::sor<Runs,
                              Bears,
                              Exited,
                              InForce,
                              UsesMap,
                              Does<ActionKind::kExpectOutcome, Outcomes>> {};
struct NoNewWork : pegtl::seq<Does<ActionKind::kExpectNoNewWork, WORD("no")>,
                              NEED("new"),
                              NEED("work"),
                              NEED("in"),
                              Subject> {};
struct Expect
    : pegtl::seq<WORD("expect"),
                 pegtl::sor<NoNewWork, pegtl::seq<Subject, Predicate>>> {};

struct ActionLine : pegtl::sor<Request,
                               TakeOut,
                               BringBack,
                               ChangeMap,
                               ShutDown,
                               ListAsLeaving,
                               RestartEngine,
                               Start,
                               FaultAction,
                               Expect> {};
struct After : pegtl::opt<WORD("after"), WhenTime> {};
struct StepLine
    : pegtl::seq<pegtl::sor<pegtl::seq<WORD("at"), WhenTime>,
                            pegtl::seq<WORD("when"),
                                       Value<WhenMoment>,
                                       pegtl::opt<WORD("by"), Value<WhenAt>>,
                                       After>>,
                 ActionLine> {};

// The file.

struct Statement
    : pegtl::sor<TitleLine, SeedLine, DataCentreLine, NodeLine, StepLine> {};
struct Comment
    : pegtl::seq<pegtl::one<'#'>, pegtl::until<pegtl::at<pegtl::eolf>>> {};
struct LineEnd : pegtl::sor<pegtl::eol, pegtl::eof> {};
struct EmptyLine
    : pegtl::seq<Blanks, pegtl::opt<Comment>, pegtl::at<pegtl::eolf>> {};
struct Line
    : pegtl::seq<pegtl::sor<EmptyLine,
                            pegtl::seq<Blanks, Statement, pegtl::opt<Comment>>>,
                 LineEnd> {};
struct File : pegtl::until<pegtl::eof, Line> {};

#undef WORD
#undef NEED

// What was expected where a rule does not match; null for a rule that has
// alternatives.
template <typename>
constexpr const char* kExpected = nullptr;
template <char... Chars>
constexpr std::array<char, sizeof...(Chars) + 10> kQuoted = {
    'e', 'x', 'p', 'e', 'c', 't', 'e', 'd', ' ', Chars..., '\0'};
template <char... Chars>
constexpr const char* kExpected<Need<pegtl::ascii::string<Chars...>>> =
    kQuoted<'"', Chars..., '"'>.data();
template <auto Member>
constexpr const char* kExpected<Value<NodeName<Member>>> = "expected a name";
template <auto Member>
constexpr const char* kExpected<Value<ActionName<Member>>> = "expected a name";
template <auto Member>
constexpr const char* kExpected<Value<FaultName<Member>>> = "expected a name";
template <>
constexpr const char* kExpected<Value<DataCentre>> = "expected a name";
template <>
constexpr const char* kExpected<Value<WhenAt>> = "expected a name";
template <>
constexpr const char* kExpected<Value<WhenMoment>> =
    "expected the name of a step, such as claim-sent";
template <>
constexpr const char* kExpected<Value<Digits>> = "expected a number";
template <>
constexpr const char* kExpected<Value<Title>> = "expected a title";
template <>
constexpr const char* kExpected<Unit> = "expected a unit: ms, s or min";
template <>
constexpr const char* kExpected<RequestKindWord> =
    "expected a kind of request: stream, read or call";
template <>
constexpr const char* kExpected<Predicate> =
    "expected what is expected: answered, refused, unknown, runs, bears, "
    "exited, is or uses";
template <>
constexpr const char* kExpected<ActionLine> =
    "expected an action: request, take out, bring back, change map, shut "
    "down, list, restart, start, expect or a fault";
template <>
constexpr const char* kExpected<Statement> =
    "expected a statement: scenario, seed, data centre, entry host, endpoint, "
    "engine, at or when";
template <>
constexpr const char* kExpected<LineEnd> = "expected the end of the line";

struct Errors {
  template <typename Rule>
  // NOLINTNEXTLINE(readability-identifier-naming): required by PEGTL.
  static constexpr auto message = kExpected<Rule>;
};
template <typename Rule>
using Control = pegtl::must_if<Errors, pegtl::normal, false>::control<Rule>;

// What a matched rule stores.

template <typename Rule>
struct Store : pegtl::nothing<Rule> {};

#define STORE(...)            \
  struct Store<__VA_ARGS__> { \
    template <typename Input> \
    static void apply([[maybe_unused]] const Input& in, Draft& draft)
// NOLINTBEGIN(readability-identifier-naming): names required by PEGTL.
template <auto Member>
STORE(NodeName<Member>) {
  draft.node.*Member = in.string();
}
};
template <auto Member>
STORE(ActionName<Member>) {
  draft.step.action.*Member = in.string();
}
};
template <auto Member>
STORE(FaultName<Member>) {
  draft.step.action.fault.*Member = in.string();
}
}
;
template <typename Rule, auto Member, auto Constant>
STORE(SetNode<Rule, Member, Constant>) {
  draft.node.*Member = Constant;
}
}
;
template <typename Rule, auto Member, auto Constant>
STORE(SetAction<Rule, Member, Constant>) {
  draft.step.action.*Member = Constant;
}
}
;
template <typename Rule, FaultKind Kind>
STORE(SetFault<Rule, Kind>) {
  draft.step.action.fault.kind = Kind;
}
}
;
template <ActionKind Kind, typename Rule>
STORE(Does<Kind, Rule>) {
  draft.step.action.kind = Kind;
}
}
;
template <CallerOutcome Outcome, typename Rule>
STORE(OutcomeIs<Outcome, Rule>) {
  draft.step.action.outcomes.push_back(Outcome);
}
}
;
template <>
STORE(Digits) {
  // Seven digits of any unit fit into a Duration.
  const std::string text = in.string();
  if (text.size() > 9) {
    throw pegtl::parse_error("expected a number of at most 9 digits", in);
  }
  draft.number = std::stoll(text);
}
}
;
template <>
STORE(InMilliseconds) {
  draft.duration = toucanhollow::Milliseconds(draft.number);
}
}
;
template <>
STORE(InSeconds) {
  draft.duration = toucanhollow::Seconds(draft.number);
}
}
;
template <>
STORE(InMinutes) {
  draft.duration = toucanhollow::Seconds(draft.number * 60);
}
}
;
template <auto Member>
STORE(FaultLength<Member>) {
  draft.step.action.fault.*Member = draft.duration;
}
}
;
template <auto Member>
STORE(ActionCount<Member>) {
  draft.step.action.*Member = draft.number;
}
}
;
template <>
STORE(NodeRank) {
  draft.node.rank = static_cast<int>(draft.number);
}
}
;
template <>
STORE(Seed) {
  draft.scenario.seed = static_cast<std::uint64_t>(draft.number);
}
}
;
template <>
STORE(WhenTime) {
  draft.step.at = draft.duration;
}
}
;
template <>
STORE(Retention) {
  draft.scenario.log_retention = draft.duration;
}
}
;
template <>
STORE(WhenMoment) {
  const std::string name = in.string();
  if (!std::ranges::any_of(MomentNames(), [&](const MomentName& known) {
        return known.name == name;
      })) {
    throw pegtl::parse_error(kExpected<Value<toucanhollow::WhenMoment>>, in);
  }
  draft.step.when = name;
}
}
;
template <>
STORE(WhenAt) {
  draft.step.when_at = in.string();
}
}
;
template <>
STORE(Title) {
  draft.scenario.title = in.string();
}
}
;
template <>
STORE(DataCentre) {
  draft.scenario.data_centres.push_back(in.string());
}
}
;
template <>
STORE(StartsOut) {
  draft.scenario.data_centres_out.push_back(draft.scenario.data_centres.back());
}
}
;
template <>
STORE(NodeLine) {
  draft.scenario.nodes.push_back(std::exchange(draft.node, {}));
}
}
;
template <>
STORE(StepLine) {
  draft.step.line = static_cast<int>(in.position().line);
  draft.scenario.steps.push_back(std::exchange(draft.step, {}));
}
}
;
// NOLINTEND(readability-identifier-naming)
#undef STORE

}  // namespace

Result<Scenario> ParseScenario(const std::string& text,
                               const std::string& source) {
  Draft draft;
  try {
    pegtl::memory_input input(text, source);
    pegtl::parse<File, Store, Control>(input, draft);
  } catch (const pegtl::parse_error& error) {
    return MakeFailure(ResultCode::kSettingsInvalid, error.what());
  }
  return std::move(draft.scenario);
}

}  // namespace toucanhollow
