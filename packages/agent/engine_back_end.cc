#include "agent/engine_back_end.h"

#include <map>
#include <memory>
#include <utility>

namespace toucanhollow {
namespace {

struct EngineRun {
  EngineRequest request;
  BackEndCallbacks callbacks;
  HttpCallId call = 0;
  int resumes = 0;
};

struct EngineRuns {
  explicit EngineRuns(EngineClient& client) : engine(client) {}

  EngineStreamCallbacks MakeCallbacks(const DispatchId& id);
  void OnEnd(const DispatchId& id, const EngineStreamOutcome& outcome);

  EngineClient& engine;
  std::map<DispatchId, EngineRun> runs;
};

EngineStreamCallbacks EngineRuns::MakeCallbacks(const DispatchId& id) {
  EngineStreamCallbacks callbacks;
  callbacks.on_token = [this, id](std::int64_t index, std::string_view text) {
    const auto run = this->runs.find(id);
    if (run != this->runs.end()) {
      run->second.callbacks.on_piece(static_cast<std::uint64_t>(index), text);
    }
  };
  callbacks.on_end = [this, id](const EngineStreamOutcome& outcome) {
    this->OnEnd(id, outcome);
  };
  return callbacks;
}

void EngineRuns::OnEnd(const DispatchId& id,
                       const EngineStreamOutcome& outcome) {
  const auto found = this->runs.find(id);
  if (found == this->runs.end()) {
    return;
  }
  EngineRun& run = found->second;
  if (outcome.end == EngineStreamEnd::kInterrupted &&
      run.resumes < kMaxEngineResumes &&
      outcome.next_index > run.request.start_index) {
    ++run.resumes;
    run.call = this->engine.Resume(run.request, outcome.next_index,
                                   this->MakeCallbacks(id));
    return;
  }
  BackEndOutcome back_end_outcome;
  back_end_outcome.count = static_cast<std::uint64_t>(outcome.next_index);
  back_end_outcome.failure = MakeFailure(outcome.code, outcome.detail);
  switch (outcome.end) {
    case EngineStreamEnd::kComplete:
      back_end_outcome.kind = BackEndOutcome::Kind::kComplete;
      back_end_outcome.finish_reason =
          outcome.next_index >= run.request.max_tokens ? "length" : "stop";
      break;
    case EngineStreamEnd::kNotRun:
      // The first call may have run even if a later resume was refused.
      back_end_outcome.kind = run.resumes == 0 ? BackEndOutcome::Kind::kNotRun
                                               : BackEndOutcome::Kind::kUnknown;
      break;
    case EngineStreamEnd::kInterrupted:
      back_end_outcome.kind = BackEndOutcome::Kind::kUnknown;
      break;
  }
  const BackEndCallbacks callbacks = std::move(run.callbacks);
  this->runs.erase(found);
  callbacks.on_end(back_end_outcome);
}

}  // namespace

BackEnd MakeEngineBackEnd(EngineClient& engine) {
  const auto runs = std::make_shared<EngineRuns>(engine);
  BackEnd back_end;
  back_end.start = [runs](const Dispatch& dispatch,
                          BackEndCallbacks callbacks) {
    EngineRun run;
    run.request.id = dispatch.dispatch_id.value;
    run.request.model = dispatch.model;
    run.request.prompt = dispatch.body;
    run.request.max_tokens =
        dispatch.max_tokens > 0 ? dispatch.max_tokens : kDefaultMaxTokens;
    run.request.start_index = static_cast<std::int64_t>(dispatch.resume_index);
    run.request.priority = dispatch.priority;
    run.callbacks = std::move(callbacks);
    const DispatchId id = dispatch.dispatch_id;
    EngineRun& stored = runs->runs.emplace(id, std::move(run)).first->second;
    stored.call =
        runs->engine.Complete(stored.request, runs->MakeCallbacks(id));
  };
  back_end.cancel = [runs](const DispatchId& id) {
    const auto found = runs->runs.find(id);
    if (found == runs->runs.end()) {
      return;
    }
    runs->engine.Cancel(found->second.call);
    runs->engine.CancelStream(id.value, {});
    runs->runs.erase(found);
  };
  return back_end;
}

}  // namespace toucanhollow
