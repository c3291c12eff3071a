#include "Peer/SharedSecret.h"

#include "Security/Digest.h"

#include <grpcpp/server_context.h>

namespace Lavendervane {

bool carriesSecret(const grpc::ServerContextBase& context, const std::string& secret)
{
    const auto& metadata = context.client_metadata();
    const auto found = metadata.find(secretMetadataKey);
    return found != metadata.end() && equalInConstantTime({ found->second.data(), found->second.size() }, secret);
}

} // namespace Lavendervane
