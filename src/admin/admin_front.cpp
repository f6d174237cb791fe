#include "admin/admin_front.h"

#include "base/log.h"

namespace ryeglade {
namespace {

constexpr std::string_view kReplicas = "/control/model-replicas/";

}  // namespace

void AdminFront::Answer(Handle connection, int status, std::string_view body, const char* type) {
  downstream_->CloseAfter(connection);  // one call a connection
  downstream_->Reply(connection, status, std::string("Content-Type: ") + type + "\r\n", body);
}

void AdminFront::OnRequest(Handle connection, HttpRequest request) {
  const std::string_view path = request.Path();
  const auto only = [&](const char* method) {
    if (request.method == method) return true;
    downstream_->CloseAfter(connection);
    downstream_->Reply(connection, 405, std::string("Allow: ") + method + "\r\n", "method\n");
    return false;
  };
  if (path == "/control/ready") {
    if (!only("GET")) return;
    const bool yes = node_->taking_clients();
    return Answer(connection, yes ? 200 : 503, yes ? "ready\n" : "not ready\n");
  }
  if (path == "/control/counters") {
    if (!only("GET")) return;
    return Answer(connection, 200, node_->CountersText(), "text/plain; version=0.0.4");
  }
  if (path == "/control/figures") {
    if (!only("GET")) return;
    return Answer(connection, 200, node_->FiguresText(), "application/json");
  }
  if (path.substr(0, kReplicas.size()) == kReplicas) {
    std::string_view rest = path.substr(kReplicas.size());
    const std::size_t slash = rest.rfind('/');
    const std::string_view instance = rest.substr(0, slash), verb = rest.substr(slash + 1);
    if (slash == std::string_view::npos || instance.empty() || instance.find('/') != std::string_view::npos ||
        (verb != "offline" && verb != "online")) {
      return Answer(connection, 404, "path\n");
    }
    if (!only("POST")) return;
    const bool out = verb == "offline";
    if (!node_->Hold(instance, out)) {
      Log(Level::kWarn, "admin-unknown-replica", {{"instance", instance}});
      return Answer(connection, 404, "no such model replica\n");
    }
    Log(Level::kInfo, out ? "replica-offline" : "replica-online", {{"instance", instance}});
    return Answer(connection, 200, out ? "offline\n" : "online\n");
  }
  Answer(connection, 404, "path\n");
}

}  // namespace ryeglade
