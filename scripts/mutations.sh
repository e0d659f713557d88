#!/usr/bin/env bash
# Runs mutation tests: breaks one guarantee after the other in a scratch copy of
# the source and prints which tests fail. Exits with 1 when no test detects a
# mutation or when its expression changes nothing.
#
#     mutations.sh [NAME ...]
set -euo pipefail
cd "$(dirname "$0")/.."
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
git ls-files | tar -cf - -T - | tar -xf - -C "$scratch"
cd "$scratch"
git init -q && git add -A && git -c user.name=m -c user.email=m@m.invalid commit -qm base
tests="fault_scenario_test job_rules_test fleet_rules_test endpoint_contract_test
peer_contract_test operator_contract_test log_follower_test"
cmake -S . -B build -G Ninja -DHAWTHORNWHEEL_WERROR=OFF >/dev/null
# shellcheck disable=SC2086
cmake --build build --target $tests >/dev/null

undetected=0

# mutate NAME FILE SED-EXPRESSION: applies the mutation, runs the tests, and
# reverts it.
mutate() {
  local name=$1 file=$2 expression=$3
  if [ ${#selected[@]} -gt 0 ] && [[ ! " ${selected[*]} " == *" $name "* ]]; then return; fi
  sed -i -E "$expression" "$file"
  if git diff --quiet; then
    echo "$name: the expression changes nothing"
    undetected=1
    return
  fi
  local failed=()
  # shellcheck disable=SC2086
  if cmake --build build --target $tests >build/out 2>&1; then
    for test in $tests; do
      local path
      path=$(find build/tests -name "$test" -type f)
      if ! FAULT_SEEDS=${FAULT_SEEDS:-30} timeout 60 "$path" >build/out 2>&1; then
        failed+=("$test($(grep -cE '^\[  FAILED  \].*(ms|GetParam)' build/out || true))")
      fi
    done
  else
    failed+=("build")
  fi
  git checkout -q .
  if [ ${#failed[@]} -eq 0 ]; then
    echo "$name: NOT DETECTED"
    undetected=1
  else
    echo "$name: detected by ${failed[*]}"
  fi
}

selected=("$@")
lib=src/libs
mutate start_after_deadline $lib/dispatch/routing_controller.cc \
  's/if \(left <= base::Duration\{0\}\) return false;/return true;/'
mutate forget_keys_early $lib/dispatch/key_registry.cc \
  's/entries\[key.caller_part\] = entry;/entries.erase(key.caller_part); static_cast<void>(entry);/'
mutate retry_unknown_start $lib/dispatch/job_lifecycle.cc \
  's/case AttemptOutcome::kUnknown:/case AttemptOutcome::kUnknown: this->OnNotStarted(job, task, result); return;/'
mutate refused_key_not_sealed $lib/dispatch/job_controller.cc \
  's/this->registry.Seal\(key, admitted.GetError\(\).Kind\(\)\);/;/'
mutate cancelled_key_not_sealed $lib/dispatch/job_controller.cc \
  's/this->registry.Seal\(\*key, ErrorKind::kCancelled\);/;/'
mutate starts_not_counted $lib/dispatch/attempt_controller.cc \
  's/\+\+job.possible_starts;//'
mutate answers_not_addressed $lib/fleet/peer_messenger.cc \
  's/if \(envelope.recipient\(\) != this->incarnation\) \{/if (false) {/'
mutate failed_task_counts_as_done $lib/dispatch/job_lifecycle.cc \
  's/case AttemptOutcome::kFailed:/case AttemptOutcome::kFailed: this->OnCompleted(job, task, result); return;/'
mutate stale_change_accepted $lib/fleet/config_fold.cc \
  's/if \(service.base_generation\(\) == generation\) continue;/continue;/'
mutate older_state_adopted $lib/fleet/config_fold.cc \
  's/if \(next_offset <= this->next_offset\) return false;//'
mutate gap_after_retention $lib/fleet/log_follower.cc \
  's/if \(batch.earliest\(\) > this->ReadOffset\(\)\) \{/if (false) {/'
mutate checkpoint_with_gap $lib/fleet/log_follower.cc \
  's/if \(this->recovering \&\& next_offset < this->recovery_start\) return false;//'
mutate no_checkpoints $lib/fleet/config_controller.cc \
  's/if \(this->checkpoint_timer.IsActive\(\)\) return;/return;/'
mutate leaving_ignored $lib/dispatch/dispatch_board.cc \
  's/if \(endpoint.leaving \|\| now < endpoint.refused_until\) return 0;//'
mutate leaving_not_passed_on $lib/fleet/leaving_controller.cc \
  's/heartbeat.add_leaving\(ip\);/;/'
mutate lapsed_lease_ignored $lib/dispatch/attempt_controller.cc \
  's/if \(!attempt.stopping \&\& now >= attempt.lease_until\) \{/if (false) {/'
mutate slot_free_before_the_stop $lib/dispatch/attempt_controller.cc \
  's/if \(confirmed \|\| lease_left <= base::Duration\{0\}\) \{/if (true) {/'
mutate ownership_after_a_pause $lib/dispatch/endpoint_controller.cc \
  's/if \(expired\) return false;//'
mutate no_join_delay $lib/fleet/membership_controller.cc \
  's/kJoinDelay = std::chrono::milliseconds\(500\)/kJoinDelay = std::chrono::milliseconds(0)/'
mutate library_resends $lib/endpoints/http_endpoint_client.cc \
  's/soup_message_new\("POST", uri.c_str\(\)\);/soup_message_new("PUT", uri.c_str());/; s/^    g_cancellable_cancel\(exchange->cancellable\);//'
mutate drain_cuts_jobs $lib/dispatch/drain_controller.cc \
  's/this->board.draining = true;/this->board.draining = true; this->CancelOpenJobs();/'
exit $undetected
