#include "app/disabled_replicas.h"

#include <memory>
#include <optional>
#include <utility>

#include "base/deadlines.h"
#include "base/log.h"

namespace ryeglade {
namespace {

// A call on its way through the background thread.
struct StoredCall {
  DisableCall call;
  std::string node;
  DisabledReplicas known;  // by this process; used if the file is missing or malformed
  DisableResult result = DisableResult::kNotStored;
};

// Returns the text with the call, or nullopt if the call does not change it.
std::optional<std::string> AddCall(StoredCall& stored, const std::optional<std::string>& current) {
  std::string error;
  std::optional<DisabledReplicas> replicas;
  if (current) replicas = DecodeDisabledReplicas(*current, stored.node, &error);
  const bool is_valid = replicas.has_value();
  if (!is_valid) replicas = stored.known;
  const DisabledReplicas before = *replicas;
  stored.result = Apply(stored.call, &*replicas);
  if (stored.result != DisableResult::kDone || (is_valid && *replicas == before)) return std::nullopt;
  return EncodeDisabledReplicas(*replicas, stored.node);
}

}  // namespace

SharedDisabledReplicas::SharedDisabledReplicas(uv_loop_t* loop, std::string path, std::string node,
                                               EndpointTable* endpoints)
    : node_(std::move(node)),
      endpoints_(endpoints),
      file_(loop, std::move(path), [this](const std::string& text) { ApplyOther(text, false); }) {
  if (const auto text = file_.ReadNow()) ApplyOther(*text, true);
}

void SharedDisabledReplicas::Call(const std::string& instance, bool disable, Done done) {
  auto stored = std::make_shared<StoredCall>();
  stored->call = {instance, disable, Now(), endpoints_->IsListed(instance)};
  stored->node = node_;
  stored->known = endpoints_->disabled();
  const auto change = [stored](const std::optional<std::string>& current) {
    return AddCall(*stored, current);
  };
  file_.Update(change, [this, stored, done = std::move(done)](const StateFile::UpdateResult& result) {
    if (result.error.error != 0) return done(DisableResult::kNotStored);
    const auto replicas = result.text ? Decode(*result.text) : std::nullopt;
    if (replicas) endpoints_->ReplaceDisabled(*replicas);
    done(stored->result);
  });
}

// A file that is malformed, or that another node wrote, is logged and ignored.
std::optional<DisabledReplicas> SharedDisabledReplicas::Decode(const std::string& text) const {
  std::string why;
  std::optional<DisabledReplicas> replicas = DecodeDisabledReplicas(text, node_, &why);
  if (!replicas) Log(Level::kWarn, "disabled-replicas-ignored", {{"path", file_.path()}, {"why", why}});
  return replicas;
}

void SharedDisabledReplicas::ApplyOther(const std::string& text, bool at_start) {
  const auto replicas = Decode(text);
  if (!replicas) return;
  Log(Level::kInfo, "disabled-replicas-applied", {{"out", replicas->disabled.size()}, {"start", at_start}});
  endpoints_->ReplaceDisabled(*replicas);
}

}  // namespace ryeglade
