#include "rollout/release_check.h"

#include <vector>

#include "rollout/process_util.h"

namespace ryeglade::rollout {

ReleaseCheck CheckRelease(const Release& release, const Release& active) {
  std::vector<std::string> check_config = {release.program, "check-config", "--config", release.config};
  if (!release.settings.empty()) check_config.insert(check_config.end(), {"--settings", release.settings});
  const ProgramResult checked = RunProgram(check_config);
  const std::string active_compat = RunProgram({active.program, "version", "--compat"}).output;
  const std::string new_compat = RunProgram({release.program, "version", "--compat"}).output;
  const std::string incompatible = CompatibilityError(active_compat, new_compat);
  if (checked.exit_code != 0) return {false, "check-config: " + checked.output, checked.output};
  return {incompatible.empty(), incompatible, checked.output};
}

}  // namespace ryeglade::rollout
