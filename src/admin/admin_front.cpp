#include "admin/admin_front.h"

#include "base/log.h"

namespace ryeglade {
namespace {

constexpr std::string_view kReplicasPath = "/control/model-replicas/";

}  // namespace

void AdminFront::Reply(Handle connection, int status, std::string_view body, const char* type) {
  downstream_->CloseAfterResponse(connection);
  downstream_->Reply(connection, status, std::string("Content-Type: ") + type + "\r\n", body);
}

bool AdminFront::CheckMethod(Handle connection, const HttpRequest& request, std::string_view method) {
  if (request.method == method) return true;
  downstream_->CloseAfterResponse(connection);
  downstream_->Reply(connection, 405, "Allow: " + std::string(method) + "\r\n", "method\n");
  return false;
}

void AdminFront::OnRequest(Handle connection, HttpRequest request) {
  const std::string_view path = request.Path();
  if (path == "/control/ready") {
    if (!CheckMethod(connection, request, "GET")) return;
    const bool ready = node_->is_ready();
    return Reply(connection, ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
  }
  if (path == "/control/counters") {
    if (!CheckMethod(connection, request, "GET")) return;
    return Reply(connection, 200, node_->CountersText(), "text/plain; version=0.0.4");
  }
  if (path == "/control/figures") {
    if (!CheckMethod(connection, request, "GET")) return;
    return Reply(connection, 200, node_->MetricsText(), "application/json");
  }
  if (path.starts_with(kReplicasPath)) return OnReplicaRequest(connection, request);
  Reply(connection, 404, "path\n");
}

// POST /control/model-replicas/INSTANCE/offline or .../online
void AdminFront::OnReplicaRequest(Handle connection, const HttpRequest& request) {
  const std::string_view rest = request.Path().substr(kReplicasPath.size());
  const std::size_t slash = rest.rfind('/');
  if (slash == std::string_view::npos) return Reply(connection, 404, "path\n");
  const std::string_view instance = rest.substr(0, slash);
  const std::string_view verb = rest.substr(slash + 1);
  const bool valid_instance = !instance.empty() && instance.find('/') == std::string_view::npos;
  if (!valid_instance || (verb != "offline" && verb != "online")) return Reply(connection, 404, "path\n");
  if (!CheckMethod(connection, request, "POST")) return;
  const bool disable = verb == "offline";
  node_->DisableReplica(instance, disable,
                        [this, connection, disable, name = std::string(instance)](DisableResult result) {
                          ReplyToDisable(connection, name, disable, result);
                        });
}

void AdminFront::ReplyToDisable(Handle connection, const std::string& instance, bool disable,
                                DisableResult result) {
  switch (result) {
    case DisableResult::kUnknownReplica:
      Log(Level::kWarn, "admin-unknown-replica", {{"instance", instance}});
      return Reply(connection, 404, "no such model replica\n");
    case DisableResult::kNotStored:
      Log(Level::kWarn, "admin-call-not-stored", {{"instance", instance}});
      return Reply(connection, 503, "not stored\n");
    case DisableResult::kDone:
      Log(Level::kInfo, disable ? "replica-offline" : "replica-online", {{"instance", instance}});
      return Reply(connection, 200, disable ? "offline\n" : "online\n");
  }
}

}  // namespace ryeglade
