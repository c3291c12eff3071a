#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace lavendervane {
class ApplyRequest;
class ApplyResponse;
class CreateKeyRequest;
class CreateKeyResponse;
class GetConfigurationResponse;
class HistoryResponse;
class StatusResponse;
class WithdrawKeyRequest;
} // namespace lavendervane

namespace Lavendervane {

/// Blocking client of the operator service. Each call other than `createKey` tries the servers in turn until one
/// answers. Throws Error (step "call", peer: last server) if none does.
class OperatorClient {
public:
    struct Settings {
        std::vector<std::string> servers; ///< addresses ("IP:port") of the operator service on the VMs
        std::string secret; ///< shared with the operator service
        /// Time limit of one call; longer than the 15 s after which a VM gives up a commit.
        std::chrono::milliseconds timeout { 20000 };
    };

    explicit OperatorClient(Settings);
    ~OperatorClient();

    lavendervane::GetConfigurationResponse getConfiguration();

    /// Can safely be repeated on another server, because the configuration chain recognises a repeated change id.
    lavendervane::ApplyResponse apply(const lavendervane::ApplyRequest&);
    lavendervane::HistoryResponse history(uint32_t limit);

    /// Calls the first server only, because a repeated call could create a second key.
    lavendervane::CreateKeyResponse createKey(const lavendervane::CreateKeyRequest&);

    lavendervane::ApplyResponse withdrawKey(const lavendervane::WithdrawKeyRequest&);
    lavendervane::StatusResponse status(bool allVms);

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace Lavendervane
