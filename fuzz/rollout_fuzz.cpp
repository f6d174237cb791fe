// Reads any bytes as input from another process or a driver: leases, handed-over state, commands, statuses,
// metrics, a supervisor's state file, rollout records. The first byte selects the kind. The input is either
// rejected or accepted; accepted leases, learned state and metrics can be encoded and decoded again.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "core/learned_state_codec.h"
#include "hot_restart/handover_state_codec.h"
#include "hot_restart/hot_restart_policy.h"
#include "rollout/cluster_view_model.h"
#include "rollout/release_model.h"
#include "rollout/report_chart_model.h"
#include "rollout/report_model.h"
#include "rollout/supervisor_model.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace ryeglade;
  if (size == 0) return 0;
  const std::string text(reinterpret_cast<const char*>(data + 1), size - 1);
  std::string why;
  switch (data[0] % 10) {
    case 0:
      if (const auto lease = hot_restart::DecodeLease(text)) {
        if (!hot_restart::DecodeLease(hot_restart::EncodeLease(*lease))) std::abort();
      }
      break;
    case 1:
      hot_restart::DecodeHandoverState(text, 1, "n0", &why);
      break;
    case 2:
      hot_restart::DecodeInFlight(text, 1);
      break;
    case 3:
      if (const auto learned = DecodeLearnedState(text, &why)) {
        if (!DecodeLearnedState(EncodeLearnedState(*learned), &why)) std::abort();
      }
      break;
    case 4: {
      const auto command = rollout::DecodeCommand(text);
      if (!command) break;
      rollout::SupervisorState state;
      state.active = state.last_good = {"old", "/old", "/c", "", "", "", ""};
      rollout::Supervisor supervisor("n0", "", {}, state);
      rollout::SupervisorEffects effects;
      supervisor.Recover(0, false, false, false, effects);
      supervisor.HandleCommand(1, *command, effects);
      if (supervisor.state().last_good.program.empty()) std::abort();
      break;
    }
    case 5:
      rollout::DecodeReply(text);
      break;
    case 6:
      if (const auto metrics = rollout::DecodeNodeMetrics(text)) {
        if (!rollout::DecodeNodeMetrics(rollout::EncodeNodeMetrics(*metrics))) std::abort();
      }
      break;
    case 7:
      if (const auto view = rollout::DecodeNodeClusterView(text)) rollout::MergeClusterViews(1, {*view});
      break;
    case 8: {
      std::size_t skipped = 0;
      const auto rounds = rollout::DecodeRecord(text, &skipped);
      rollout::ReportTable(rounds);
      if (!rounds.empty() && rounds.front().fault.empty()) rollout::ReportChart(rounds, "x.svg");
      break;
    }
    default:
      rollout::DecodeSupervisorState(text);
  }
  return 0;
}
