#pragma once

#include <string>

namespace grpc {
class ServerContextBase;
}

namespace Lavendervane {

/// Metadata key under which gRPC callers send the shared secret.
inline constexpr const char* secretMetadataKey = "lavendervane-secret";

/// True if the call carries the secret. Compares in constant time.
bool carriesSecret(const grpc::ServerContextBase&, const std::string& secret);

} // namespace Lavendervane
