#pragma once
/// @file Back ends whose every event the test gives.

#include <vector>

#include "routing/backend.hpp"

namespace madderdeck::tests {

class FakeBackends : public routing::BackendClient {
 public:
  struct StartedEngineCall {
    BackendId engine;
    routing::EngineCall call;
    routing::EngineEvents events;
    bool cancelled = false;
  };
  struct StartedServiceCall {
    BackendId service;
    routing::ServiceCall call;
    routing::ServiceEvents events;
  };

  routing::CallId start(const BackendId& engine, const routing::EngineCall& call,
                        routing::EngineEvents events) override {
    engine_calls.push_back({engine, call, std::move(events)});
    return engine_calls.size();
  }
  routing::CallId start(const BackendId& service, const routing::ServiceCall& call,
                        routing::ServiceEvents events) override {
    service_calls.push_back({service, call, std::move(events)});
    return 0;
  }
  void cancel(routing::CallId call) override {
    if (call > 0) {  // 0 names no call
      engine_calls.at(call - 1).cancelled = true;
    }
  }
  void pause(routing::CallId) override {}
  void resume(routing::CallId) override {}
  void fetch_load(const BackendId&, routing::ReportDone done) override { done(std::nullopt); }
  void check_reachable(const BackendId& backend, routing::ReachabilityDone done) override {
    checks.push_back({backend, std::move(done)});
  }

  void find_run(const BackendId&, const std::string& id, routing::RunFound done) override {
    lookups.push_back(id);
    done(presence);
  }

  struct StartedCheck {
    BackendId backend;
    routing::ReachabilityDone done;
  };

  std::vector<std::string> lookups;
  routing::run_presence presence = routing::run_presence::unreachable;  ///< What each back end tells of any request.
  std::vector<StartedEngineCall> engine_calls;
  std::vector<StartedCheck> checks;  ///< The test says what was found.
  std::vector<StartedServiceCall> service_calls;
};

}  // namespace madderdeck::tests
