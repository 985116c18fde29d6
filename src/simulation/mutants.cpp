#include "simulation/mutants.hpp"

namespace madderdeck::simulation {

using node::Guards;

const std::vector<Mutant>& mutants() {
  static const std::vector<Mutant> all = {
      {"results_overwritten", Promise::item_exactly_once, 200,
       [](Guards& guards) {
         guards.dispatch.write_results_once = false;
         guards.dispatch.hold_items_once = false;  // an item that is run once has one result
       }},
      {"new_disk_votes_at_once", Promise::at_most_once, 60,
       [](Guards& guards) { guards.replica.admission_before_voting = false; }},
      {"reply_before_flush", Promise::item_exactly_once, 60,
       [](Guards& guards) { guards.replica.flush_before_reply = false; }},
      {"jobs_without_lease", Promise::cancelled_job_stops, 60,
       [](Guards& guards) { guards.manager.lease_jobs = false; }},
      {"cancel_not_written", Promise::cancelled_job_stops, 30,
       [](Guards& guards) { guards.cancel_is_durable = false; }},
      {"batch_never_yields", Promise::live_never_behind_batch, 5,
       [](Guards& guards) { guards.dispatch.yield_to_online = false; }},
      {"live_activity_untold", Promise::live_never_behind_batch, 5,
       [](Guards& guards) { guards.tell_activity = false; }},
      {"repeated_tokens_passed", Promise::whole_own_answer, 20,
       [](Guards& guards) { guards.live.drop_repeated_tokens = false; }},
      {"token_gaps_passed", Promise::whole_own_answer, 30,
       [](Guards& guards) { guards.live.resume_after_gaps = false; }},
      {"broken_live_called_not_run", Promise::not_run_is_true, 60,
       [](Guards& guards) { guards.live.unknown_after_sending = false; }},
      {"broken_call_called_not_run", Promise::not_run_is_true, 60,
       [](Guards& guards) { guards.service.unknown_after_sending = false; }},
      {"sent_without_claim", Promise::at_most_once, 20,
       [](Guards& guards) { guards.service.claim_before_sending = false; }},
      {"claims_taken_over", Promise::at_most_once, 20, [](Guards& guards) { guards.claims.respect_existing = false; }},
      {"resent_after_break", Promise::at_most_once, 30,
       [](Guards& guards) { guards.service.never_resend_after_break = false; }},
      {"leaving_word_ignored", Promise::leaving_gets_no_work, 60,
       [](Guards& guards) { guards.registry.honour_leaving_reports = false; }},
      {"old_reports_trusted", Promise::leaving_gets_no_work, 60,
       [](Guards& guards) { guards.registry.need_fresh_reports = false; }},
      {"stops_with_open_streams", Promise::planned_stop_cuts_nothing, 30,
       [](Guards& guards) { guards.drain_waits = false; }},
      {"stops_with_open_calls", Promise::planned_stop_cuts_nothing, 60,
       [](Guards& guards) { guards.drain_waits_for_services = false; }},
      {"older_entries_taken", Promise::configuration_never_reverts, 150,
       [](Guards& guards) { guards.reject_older_config = false; }},
      {"lost_answer_taken_for_success", Promise::configuration_never_reverts, 60,
       [](Guards& guards) { guards.declarations.resolve_ambiguous_writes = false; }},
      {"fatal_requests_sent_again", Promise::fatal_request_contained, 5,
       [](Guards& guards) { guards.quarantine.hold_back = false; }, ScheduleMix::hardening},
      {"clock_stands_still", Promise::leaving_gets_no_work, 60,
       [](Guards& guards) { guards.clock_counts_suspension = false; }, ScheduleMix::hardening},
      {"lapses_doubted_for_good", Promise::leaving_gets_no_work, 10,
       [](Guards& guards) { guards.registry.bound_grace_period = false; }, ScheduleMix::leaving},
      {"ends_untold", Promise::fatal_request_contained, 40,
       [](Guards& guards) { guards.quarantine.report_terminations = false; }, ScheduleMix::hardening},
      {"answers_of_earlier_versions_awaited", Promise::fatal_request_contained, 60,
       [](Guards& guards) { guards.quarantine.abandon_unacknowledged = false; }, ScheduleMix::hardening, true},
      {"held_back_unmarked", Promise::fatal_request_contained, 130,
       [](Guards& guards) { guards.quarantine.list_in_store_enabled = false; }, ScheduleMix::hardening},
      {"results_listed_in_front", Promise::results_keep_positions, 10,
       [](Guards& guards) { guards.manager.append_positions = false; }, ScheduleMix::listing},
      {"positions_of_others_dropped", Promise::results_keep_positions, 30,
       [](Guards& guards) { guards.manager.merge_positions = false; }, ScheduleMix::listing},
      {"lost_items_waited_for", Promise::item_exactly_once, 30,
       [](Guards& guards) { guards.manager.expire_items = false; }, ScheduleMix::listing},
      {"copies_never_arrive", Promise::group_stays_readable, 10, [](Guards& guards) { guards.copies_arrive = false; },
       ScheduleMix::series},
      {"disk_taken_for_another", Promise::group_stays_readable, 5,
       [](Guards& guards) { guards.disks_keep_identity = false; }, ScheduleMix::series},
      {"copies_arrive_late", Promise::job_readable_in_time, 20,
       [](Guards& guards) { guards.copies_arrive_in_time = false; }, ScheduleMix::series},
      {"job_accepted_before_sync", Promise::job_readable_in_time, 20,
       [](Guards& guards) { guards.replica.flush_before_reply = false; }, ScheduleMix::series},
      {"copies_never_end", Promise::successor_taken_in, 5, [](Guards& guards) { guards.copies_arrive = false; },
       ScheduleMix::isolation},
      {"groups_looked_at_rarely", Promise::successor_taken_in, 5,
       [](Guards& guards) { guards.groups_checked_in_time = false; }, ScheduleMix::isolation},
      {"members_named_unasked", Promise::epoch_names_disks_that_exist, 10,
       [](Guards& guards) { guards.changes.new_members_consent = false; }, ScheduleMix::departures},
      {"former_member_taken_up_again", Promise::epoch_names_disks_that_exist, 10,
       [](Guards& guards) {
         guards.changes.new_members_consent = false;
         guards.changes.exclude_leaving_members = false;
       },
       ScheduleMix::departures},
      {"parts_of_events_passed", Promise::broken_off_never_whole, 5,
       [](Guards& guards) { guards.forward.complete_events_only = false; }, ScheduleMix::answers},
      {"ends_taken_as_they_come", Promise::broken_off_never_whole, 5,
       [](Guards& guards) { guards.forward.check_answer_ends = false; }, ScheduleMix::answers},
      {"versions_not_compared", Promise::stream_keeps_version, 5,
       [](Guards& guards) { guards.registry.match_software_version = false; }, ScheduleMix::versions},
      {"unknown_version_guessed", Promise::stream_keeps_version, 20,
       [](Guards& guards) { guards.streams.refuse_unknown = false; }, ScheduleMix::versions},
      {"stream_records_not_shared", Promise::stream_keeps_version, 40,
       [](Guards& guards) { guards.streams.share_records = false; }, ScheduleMix::versions},
      {"items_kept_after_five_ends", Promise::item_exactly_once, 10,
       [](Guards& guards) { guards.dispatch.max_broken_runs = 5; }, ScheduleMix::crashes},
      {"items_kept_after_two_ends", Promise::interrupted_item_runs_again, 40,
       [](Guards& guards) { guards.dispatch.max_broken_runs = 2; }, ScheduleMix::crashes},
      {"broken_items_not_returned", Promise::interrupted_item_runs_again, 10,
       [](Guards& guards) { guards.dispatch.return_broken_items = false; }, ScheduleMix::crashes},
      {"failures_reported_as_output", Promise::item_exactly_once, 60,
       [](Guards& guards) { guards.dispatch.keep_failures = false; }, ScheduleMix::rejections},
      {"fatal_parts_sent_again", Promise::fatal_part_contained, 10,
       [](Guards& guards) { guards.quarantine.hold_back_parts = false; }, ScheduleMix::parts},
      {"parts_never_acquitted", Promise::fatal_part_contained, 20,
       [](Guards& guards) { guards.quarantine.acquit_parts = false; }, ScheduleMix::parts},
      {"emptied_before_handover", Promise::epoch_names_disks_that_exist, 10,
       [](Guards& guards) { guards.drained_after_handover = false; }, ScheduleMix::departures},
  };
  return all;
}

const Mutant* find_mutant(const std::string& name) {
  for (const Mutant& mutant : mutants()) {
    if (mutant.name == name) {
      return &mutant;
    }
  }
  return nullptr;
}

}  // namespace madderdeck::simulation
