#include "batch/job_manager.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

#include "support/test_environment.hpp"
#include "wire/codec.hpp"

using namespace madderdeck;
using namespace madderdeck::batch;
using madderdeck::tests::TestEnvironment;

namespace {

const PeerAddress kSelf("self:1");
const PeerAddress kOther("other:1");
const PeerAddress kLedger("ledger");
const std::string kJob = "job-1";
constexpr std::uint32_t kPartialEvents = 219;

wire::MemberT scheduler(const std::string& id, const PeerAddress& address) {
  wire::MemberT member;
  member.id = id;
  member.peer_address = address.str();
  member.roles = 3;  // gateway and scheduler
  member.incarnation = 1;
  return member;
}

membership::Hooks hooks() {
  membership::Hooks hooks;
  hooks.local_revisions = [] { return membership::TableRevisions{}; };
  hooks.on_peer_revisions = [](const PeerAddress&, const membership::TableRevisions&) {};
  return hooks;
}

/// A manager with one job of three items, one other scheduler, and a ledger of one replica, which the fixture
/// simulates.
struct ManagerFixture {
  ManagerFixture() {
    wire::MemberSyncT list;
    list.members.push_back(std::make_unique<wire::MemberT>(scheduler("other", kOther)));
    members.handle(kOther, list);
    ledger.on_group_map({{{1, {{NodeId("ledger"), DiskId("d")}}}}});
    wire::JobRecordT record;
    record.id = kJob;
    record.host = "h";
    record.submission = "s";
    record.items = 3;
    record.chunks = 1;
    record.item_tokens = {10, 20, 30};
    wire::ChunkRecordT chunk;
    chunk.items = {"a", "b", "c"};
    values[job_key(JobId(kJob))] = wire::encode_record(record);
    values[chunk_key(JobId(kJob), "s", 0)] = wire::encode_record(chunk);
    manager.start();
  }

  /// Advances the time by @p length and answers on behalf of the ledger.
  void run(Duration length) {
    for (Duration passed{}; passed < length; passed += 5ms) {
      environment.world.run_for(5ms);
      while (answered < environment.sent.size()) {
        const std::size_t next = answered++;
        if (environment.sent[next].to == kLedger) {
          answer(next);
        }
      }
    }
  }
  void answer(std::size_t position) {
    const wire::MessageUnion& body = environment.sent[position].body;
    if (body.type == wire::Message::Prepare) {
      wire::PromiseT reply;
      reply.request = body.AsPrepare()->request;
      reply.epoch = body.AsPrepare()->epoch;
      if (const auto value = values.find(body.AsPrepare()->key); value != values.end()) {
        reply.accepted = std::make_unique<wire::Ballot>(1, 1);
        reply.value = value->second;
      }
      ledger.handle(kLedger, reply);
    } else if (body.type == wire::Message::Accept) {
      values[body.AsAccept()->key] = body.AsAccept()->value;
      wire::AcceptedT reply;
      reply.request = body.AsAccept()->request;
      reply.epoch = body.AsAccept()->epoch;
      ledger.handle(kLedger, reply);
    } else if (body.type == wire::Message::ScanRequest) {
      wire::ScanReplyT reply;
      reply.request = body.AsScanRequest()->request;
      reply.epoch = body.AsScanRequest()->epoch;
      reply.ballots_only = body.AsScanRequest()->ballots_only;
      for (const auto& [key, value] : values) {
        if (key.starts_with(body.AsScanRequest()->prefix)) {
          auto record = std::make_unique<wire::LedgerRecordT>();
          record->key = key;
          record->accepted = std::make_unique<wire::Ballot>(1, 1);
          record->value = value;
          reply.records.push_back(std::move(record));
        }
      }
      ledger.handle(kLedger, reply);
    }
  }
  wire::ItemSettledT settled(std::uint32_t index, bool held) const {
    wire::ItemSettledT message;
    message.job = kJob;
    message.index = index;
    message.held = held;
    message.partial = "made so far";
    message.partial_tokens = kPartialEvents;
    return message;
  }
  /// @return indexes of the items that the manager hands out to a scheduler that asks for all.
  std::vector<std::uint32_t> take_all() {
    wire::TakeItemsT request;
    request.capacity = 10;
    const std::size_t before = environment.sent.size();
    manager.handle(kOther, request);
    run(50ms);  // the first request makes the manager read the items
    manager.handle(kOther, request);
    std::vector<std::uint32_t> indexes;
    for (std::size_t position = before; position < environment.sent.size(); ++position) {
      if (environment.sent[position].body.type == wire::Message::GiveItems) {
        for (const auto& item : environment.sent[position].body.AsGiveItems()->items) {
          indexes.push_back(item->index);
        }
      }
    }
    return indexes;
  }

  TestEnvironment environment;
  Counters counters;
  NoDecisionLog log;
  membership::Membership members{environment, counters, scheduler("self", kSelf), {}, hooks()};
  ledger::Client ledger{environment, counters,
                        [](const NodeId& node) { return std::optional(PeerAddress(node.str())); }};
  policy::work_estimate estimate;
  placement::duties duties{members};
  JobManager manager{environment, counters, ledger, members, duties, log, std::make_shared<policy::attainable_order>(),
                     estimate};
  std::map<std::string, wire::Bytes> values;
  std::size_t answered = 0;

  /// Makes this node the owner of the job, whatever the ranking says.
  void make_other_leave() {
    wire::MemberSyncT list;
    auto other = std::make_unique<wire::MemberT>(scheduler("other", kOther));
    other->state = wire::MemberState::Leaving;
    list.members.push_back(std::move(other));
    members.handle(kOther, list);
  }
};

}  // namespace

TEST_CASE("messages about a job that is not open yet are applied once it is: no item runs twice, no progress is lost") {
  // Guards against new managers handing out running items again when several managers leave one after the other.
  ManagerFixture fixture;
  fixture.make_other_leave();
  fixture.manager.handle(kOther, fixture.settled(0, true));
  fixture.run(700ms);
  const std::vector<std::uint32_t> given = fixture.take_all();
  CHECK(given == std::vector<std::uint32_t>{1, 2});
  CHECK(fixture.counters["batch_items_claimed_by_holders_total"] == 1);
}

TEST_CASE("a manager that leaves hands over the progress of its items") {
  // Guards against loss of progress: an item with 219 events was restarted from 0 after its manager had left.
  ManagerFixture fixture;
  fixture.make_other_leave();
  fixture.manager.handle(kOther, fixture.settled(1, false));
  fixture.run(700ms);
  wire::MemberSyncT list;
  auto back = std::make_unique<wire::MemberT>(scheduler("other", kOther));
  back->incarnation = 2;
  list.members.push_back(std::move(back));
  fixture.members.handle(kOther, list);
  fixture.members.leave();
  const std::size_t before = fixture.environment.sent.size();
  fixture.manager.drain();
  bool handed_over = false;
  for (std::size_t position = before; position < fixture.environment.sent.size(); ++position) {
    const auto& message = fixture.environment.sent[position];
    if (message.body.type == wire::Message::ItemSettled && message.to == kOther) {
      handed_over =
          message.body.AsItemSettled()->index == 1 && message.body.AsItemSettled()->partial_tokens == kPartialEvents;
    }
  }
  CHECK(handed_over);
}

TEST_CASE("queued tokens are those of the items that are not settled") {
  ManagerFixture fixture;
  fixture.make_other_leave();
  wire::JobNoticeT notice;
  notice.job = kJob;
  fixture.manager.handle(notice);
  fixture.run(700ms);
  REQUIRE(fixture.manager.queued_jobs().size() == 1);
  CHECK(fixture.manager.queued_jobs().front().tokens == 60);
  wire::ItemSettledT done;
  done.job = kJob;
  done.index = 2;
  done.completed = true;
  fixture.manager.handle(kOther, done);
  CHECK(fixture.manager.queued_jobs().front().tokens == 30);
}

// Guards against items that stay leased although no node holds them. The holder reports once that it returns an item,
// to the node that it takes for the job's manager. When the nodes disagreed on the manager, or the message was lost
// while gateways were stopped one after the other, the manager waited for the whole lease of 30 s, longer than the time
// left for the job, and the item was neither run nor listed.
TEST_CASE("an item that no dispatcher confirms to hold is handed out again within 3 s") {
  ManagerFixture fixture;
  fixture.make_other_leave();
  wire::JobNoticeT notice;
  notice.job = kJob;
  fixture.manager.handle(notice);
  fixture.run(700ms);
  REQUIRE(fixture.take_all().size() == 3);
  fixture.run(1s);
  CHECK(fixture.take_all().empty());
  fixture.run(2500ms);
  CHECK(fixture.take_all().size() == 3);
}

namespace {

wire::ItemsHeldT held(std::vector<std::uint32_t> indexes) {
  wire::ItemsHeldT message;
  message.jobs.push_back(std::make_unique<wire::HeldItemsT>());
  message.jobs.back()->job = kJob;
  message.jobs.back()->indexes = std::move(indexes);
  return message;
}

void open_job(ManagerFixture& fixture) {
  fixture.make_other_leave();
  wire::JobNoticeT notice;
  notice.job = kJob;
  fixture.manager.handle(notice);
  fixture.run(700ms);
}

}  // namespace

TEST_CASE("items that their holder confirms stay leased to it, others do not") {
  ManagerFixture fixture;
  open_job(fixture);
  REQUIRE(fixture.take_all().size() == 3);
  for (int second = 0; second < 6; ++second) {
    fixture.manager.handle(kOther, held({0, 2, 99}));
    fixture.manager.handle(PeerAddress("stranger:1"), held({1}));  // not its holder
    fixture.run(1s);
  }
  CHECK(fixture.counters["batch_item_leases_expired_total"] == 1);
  // Once its lease has expired, item 1 is leased to the stranger, which confirmed it.
  CHECK(fixture.take_all().empty());
}

TEST_CASE("an item whose completion message was lost is listed and not run again") {
  ManagerFixture fixture;
  open_job(fixture);
  REQUIRE(fixture.take_all().size() == 3);
  wire::ResultRecordT result;
  result.index = 1;
  fixture.values[result_key(JobId(kJob), 1)] = wire::encode_record(result);
  fixture.run(3500ms);
  CHECK(fixture.take_all() == std::vector<std::uint32_t>{0, 2});
  CHECK(fixture.manager.progress().front().settled == 1);
}

namespace {

/// @return the record of the item's result that the ledger holds, or nothing.
std::optional<wire::ResultRecordT> result_of(const ManagerFixture& fixture, std::uint32_t index) {
  const auto value = fixture.values.find(result_key(JobId(kJob), index));
  return value == fixture.values.end() ? std::nullopt : wire::decode_record<wire::ResultRecordT>(value->second);
}

void take_over_job(ManagerFixture& fixture) {
  fixture.make_other_leave();
  wire::JobNoticeT notice;
  notice.job = kJob;
  fixture.manager.handle(notice);
  fixture.run(700ms);
}

}  // namespace

// Guards against items that failed for good being run once more where the ledger did not take their failure.
TEST_CASE("an item whose failure was reported is not handed out again, and its failure is written by the manager") {
  ManagerFixture fixture;
  take_over_job(fixture);
  REQUIRE(fixture.take_all() == std::vector<std::uint32_t>{0, 1, 2});
  wire::ItemSettledT message = fixture.settled(1, false);
  message.failure = wire::ItemFailure::RunsFailed;
  message.failed_runs = 3;
  fixture.manager.handle(kOther, message);
  CHECK(fixture.take_all().empty());
  fixture.run(2s);
  const auto record = result_of(fixture, 1);
  REQUIRE(record);
  CHECK(record->failed);
  CHECK(record->failure == wire::ItemFailure::RunsFailed);
  CHECK(record->body == "the item failed at every attempt");
  CHECK_FALSE(result_of(fixture, 0));
}

// Guards against a dispatcher and a manager that both write the failure while the dispatcher still lives.
TEST_CASE("a failure whose dispatcher holds the item is left to that, until it confirms the item no more") {
  ManagerFixture fixture;
  take_over_job(fixture);
  REQUIRE(fixture.take_all().size() == 3);
  wire::ItemSettledT message = fixture.settled(1, true);
  message.failure = wire::ItemFailure::Rejected;
  fixture.manager.handle(kOther, message);
  fixture.run(1s);
  CHECK_FALSE(result_of(fixture, 1));
  fixture.run(6s);
  REQUIRE(result_of(fixture, 1));
  CHECK(result_of(fixture, 1)->failure == wire::ItemFailure::Rejected);
}

// Guards against a new manager that runs an item whose failure the manager before it could not write.
TEST_CASE("a manager that leaves hands over failures that the ledger has not taken") {
  ManagerFixture fixture;
  take_over_job(fixture);
  REQUIRE(fixture.take_all().size() == 3);
  wire::ItemSettledT failed = fixture.settled(2, false);
  failed.failure = wire::ItemFailure::RouteGone;
  fixture.manager.handle(kOther, failed);
  wire::MemberSyncT list;
  wire::MemberT other = scheduler("other", kOther);
  other.incarnation = 2;
  list.members.push_back(std::make_unique<wire::MemberT>(other));
  fixture.members.handle(kOther, list);
  fixture.environment.sent.clear();
  fixture.members.leave();
  fixture.manager.drain();
  std::size_t handed_over = 0;
  for (const auto& message : fixture.environment.sent) {
    const bool settles = message.to == kOther && message.body.type == wire::Message::ItemSettled;
    handed_over += settles && message.body.AsItemSettled()->failure == wire::ItemFailure::RouteGone ? 1 : 0;
  }
  CHECK(handed_over == 1);
}

// Guards against "the engine rejects the item" before an item's output, as dispatchers of earlier versions report it.
TEST_CASE("a reason that an earlier version reports as output is not continued") {
  for (const std::string text : {"the engine rejects the item", "the item's route is gone",
                                 "the engine rejects the item\nevent 7", "the item's route is goneevent 0"}) {
    ManagerFixture fixture;
    take_over_job(fixture);
    REQUIRE(fixture.take_all().size() == 3);
    wire::ItemSettledT message = fixture.settled(1, false);
    message.partial = text;
    message.failed_runs = 2;
    fixture.environment.sent.clear();
    fixture.answered = 0;
    fixture.manager.handle(kOther, message);
    fixture.take_all();
    const wire::WorkItemT* given = nullptr;
    for (const auto& sent : fixture.environment.sent) {
      if (sent.body.type == wire::Message::GiveItems) {
        given = sent.body.AsGiveItems()->items.front().get();
      }
    }
    CAPTURE(text);
    REQUIRE(given != nullptr);
    CHECK(given->index == 1);
    CHECK(given->partial.empty());
    CHECK(given->partial_tokens == 0);
    CHECK(given->failed_runs == 2);
  }
}
