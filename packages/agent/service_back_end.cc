#include "agent/service_back_end.h"

#include <map>
#include <memory>
#include <utility>

namespace toucanhollow {
namespace {

// Timeout of a call whose caller set no deadline.
constexpr Duration kDefaultCallTimeout = Seconds(60);

using OpenCalls = std::map<DispatchId, HttpCallId>;

ServiceCall MakeCall(const Dispatch& dispatch) {
  ServiceCall call;
  call.method = dispatch.method;
  call.path = dispatch.path;
  call.body = dispatch.body;
  call.idempotency_key = dispatch.idempotency_key;
  call.account = dispatch.account.value;
  call.timeout = dispatch.remaining > Duration(0) ? dispatch.remaining
                                                  : kDefaultCallTimeout;
  call.repeatable = dispatch.repeatable;
  return call;
}

BackEndOutcome ToBackEndOutcome(const ServiceOutcome& service_outcome) {
  BackEndOutcome outcome;
  outcome.failure = MakeFailure(service_outcome.code, service_outcome.detail);
  switch (service_outcome.end) {
    case ServiceEnd::kAnswered:
      outcome.kind = BackEndOutcome::Kind::kComplete;
      outcome.count = 1;
      outcome.status = service_outcome.status;
      break;
    case ServiceEnd::kNotRun:
      outcome.kind = BackEndOutcome::Kind::kNotRun;
      break;
    case ServiceEnd::kUnknown:
      outcome.kind = BackEndOutcome::Kind::kUnknown;
      break;
  }
  return outcome;
}

}  // namespace

BackEnd MakeServiceBackEnd(ServiceClient& service) {
  const auto calls = std::make_shared<OpenCalls>();
  BackEnd back_end;
  back_end.start = [&service, calls](const Dispatch& dispatch,
                                     BackEndCallbacks callbacks) {
    const DispatchId id = dispatch.dispatch_id;
    (*calls)[id] = service.Call(MakeCall(dispatch),
                                [calls, id, callbacks = std::move(callbacks)](
                                    const ServiceOutcome& outcome) {
                                  calls->erase(id);
                                  if (outcome.end == ServiceEnd::kAnswered) {
                                    callbacks.on_piece(0, outcome.body);
                                  }
                                  callbacks.on_end(ToBackEndOutcome(outcome));
                                });
  };
  back_end.cancel = [&service, calls](const DispatchId& id) {
    const auto found = calls->find(id);
    if (found != calls->end()) {
      service.Cancel(found->second);
      calls->erase(found);
    }
  };
  return back_end;
}

}  // namespace toucanhollow
