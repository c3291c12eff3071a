#include "Operator/OperatorService.h"

#include "Configuration/Change.h"
#include "Configuration/Validation.h"
#include "Core/Error.h"
#include "Operator/OperatorHandler.h"
#include "Peer/SharedSecret.h"
#include "Peer/UnaryReply.h"
#include "Security/Digest.h"
#include "Security/KeyText.h"

#include "operator.grpc.pb.h"

#include <boost/asio/post.hpp>
#include <grpcpp/grpcpp.h>

#include <ctime>

namespace Lavendervane {

using lavendervane::ApplyResponse;

namespace {

constexpr uint32_t defaultHistoryLimit = 100;
constexpr uint32_t maximumHistoryLimit = 1000;

std::string formatCurrentTime()
{
    const std::time_t now = std::time(nullptr);
    std::tm parts {};
    gmtime_r(&now, &parts);
    char text[32];
    std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return text;
}

ApplyResponse makeResponse(CommitResult result, uint64_t version)
{
    ApplyResponse response;
    response.set_version(version);
    switch (result) {
    case CommitResult::Committed:
        response.set_result(ApplyResponse::COMMITTED);
        break;
    case CommitResult::Conflict:
        response.set_result(ApplyResponse::CONFLICT);
        break;
    case CommitResult::NotCommitted:
        response.set_result(ApplyResponse::NOT_COMMITTED);
        break;
    case CommitResult::Unknown:
        response.set_result(ApplyResponse::UNKNOWN);
        break;
    }
    return response;
}

ApplyResponse makeInvalidResponse(const std::vector<std::string>& errors)
{
    ApplyResponse response;
    response.set_result(ApplyResponse::INVALID);
    for (const std::string& error : errors)
        response.add_errors(error);
    return response;
}

} // namespace

class OperatorService::Implementation : public lavendervane::OperatorService::CallbackService {
public:
    Implementation(boost::asio::io_context& context, OperatorHandler& handler, OperatorServiceSettings settings)
        : context(context)
        , handler(handler)
        , settings(std::move(settings))
    {
    }

    grpc::ServerUnaryReactor* GetConfiguration(grpc::CallbackServerContext* call,
        const lavendervane::GetConfigurationRequest*, lavendervane::GetConfigurationResponse* response) override
    {
        return this->post(call, response, [this](const auto& reply) {
            const auto configuration = this->handler.configuration();
            lavendervane::GetConfigurationResponse answer;
            answer.set_version(configuration->version);
            answer.set_configuration(toJson(*configuration));
            reply.send(std::move(answer));
        });
    }

    grpc::ServerUnaryReactor* Apply(
        grpc::CallbackServerContext* call, const lavendervane::ApplyRequest* request, ApplyResponse* response) override
    {
        return this->post(
            call, response, [this, request = *request](const auto& reply) { this->apply(request, reply); });
    }

    grpc::ServerUnaryReactor* History(grpc::CallbackServerContext* call, const lavendervane::HistoryRequest* request,
        lavendervane::HistoryResponse* response) override
    {
        const uint32_t limit = std::min(request->limit() ? request->limit() : defaultHistoryLimit, maximumHistoryLimit);
        return this->post(call, response, [this, limit](const auto& reply) {
            this->handler.history(limit, [reply](const std::vector<Change>& changes) {
                lavendervane::HistoryResponse answer;
                for (const Change& change : changes)
                    describe(change, *answer.add_entries());
                reply.send(std::move(answer));
            });
        });
    }

    grpc::ServerUnaryReactor* CreateKey(grpc::CallbackServerContext* call,
        const lavendervane::CreateKeyRequest* request, lavendervane::CreateKeyResponse* response) override
    {
        return this->post(
            call, response, [this, request = *request](const auto& reply) { this->createKey(request, reply); });
    }

    grpc::ServerUnaryReactor* WithdrawKey(grpc::CallbackServerContext* call,
        const lavendervane::WithdrawKeyRequest* request, ApplyResponse* response) override
    {
        return this->post(
            call, response, [this, request = *request](const auto& reply) { this->withdrawKey(request, reply); });
    }

    grpc::ServerUnaryReactor* Status(grpc::CallbackServerContext* call, const lavendervane::StatusRequest* request,
        lavendervane::StatusResponse* response) override
    {
        return this->post(call, response, [this, allVms = request->all_vms()](const auto& reply) {
            this->handler.status(allVms, [reply](const lavendervane::StatusResponse& status) { reply.send(status); });
        });
    }

private:
    using ApplyReply = UnaryReply<ApplyResponse>;

    static void describe(const Change& change, lavendervane::HistoryEntry& entry)
    {
        entry.set_version(change.version);
        entry.set_previous_version(change.previousVersion);
        entry.set_author(change.author);
        entry.set_change_id(change.id);
        entry.set_time(change.time);
        for (const std::string& line : summarise(change))
            entry.add_summary(line);
    }

    void apply(const lavendervane::ApplyRequest& request, const ApplyReply& reply)
    {
        const auto current = this->handler.configuration();
        if (request.base_version() > current->version) {
            reply.fail(grpc::StatusCode::UNAVAILABLE, "this VM has not reached the base version yet");
            return;
        }
        Change change;
        try {
            change = parseChange(request.change());
        } catch (const Error& error) {
            reply.send(makeInvalidResponse({ error.message() }));
            return;
        }
        if (!change.keys.empty() || !change.removedKeys.empty() || request.change_id().empty()) {
            reply.send(makeInvalidResponse({ "a change needs an id and must not change keys" }));
            return;
        }
        change.id = request.change_id();
        this->commit(*current, request.base_version(), std::move(change), request.author(),
            [reply](ApplyResponse response) { reply.send(std::move(response)); });
    }

    void createKey(
        const lavendervane::CreateKeyRequest& request, const UnaryReply<lavendervane::CreateKeyResponse>& reply)
    {
        const auto current = this->handler.configuration();
        const KeyText key = KeyText::generate(KeyId(toHex(randomBytes(6))));
        Change change;
        change.keys = { { key.id, OrganisationId(request.organisation()), key.digest(this->settings.digestSecret) } };
        this->commit(
            *current, current->version, std::move(change), request.author(), [reply, key](ApplyResponse applyResponse) {
                lavendervane::CreateKeyResponse response;
                if (applyResponse.result() == ApplyResponse::COMMITTED) {
                    response.set_key_id(key.id.str());
                    response.set_key(key.text());
                }
                *response.mutable_applied() = std::move(applyResponse);
                reply.send(std::move(response));
            });
    }

    void withdrawKey(const lavendervane::WithdrawKeyRequest& request, const ApplyReply& reply)
    {
        const auto current = this->handler.configuration();
        const KeyId id(request.key_id());
        if (!current->findKey(id)) {
            reply.send(
                makeInvalidResponse({ "key " + id.str() + ": not in version " + std::to_string(current->version) }));
            return;
        }
        Change change;
        change.removedKeys = { id };
        this->commit(*current, current->version, std::move(change), request.author(),
            [reply](ApplyResponse response) { reply.send(std::move(response)); });
    }

    void commit(const Configuration& current, uint64_t baseVersion, Change change, const std::string& author,
        std::function<void(ApplyResponse)> reply)
    {
        change.previousVersion = baseVersion;
        change.version = baseVersion + 1;
        change.author = author;
        change.time = formatCurrentTime();
        if (change.id.empty())
            change.id = toHex(randomBytes(16));
        // A change to an older version is a retry of a committed change or a conflict; the configuration chain tells
        // which.
        if (baseVersion == current.version) {
            const auto errors = validate(applyChange(current, change));
            if (!errors.empty()) {
                reply(makeInvalidResponse(errors));
                return;
            }
        }
        this->handler.commit(std::move(change), [reply = std::move(reply)](CommitResult result, uint64_t version) {
            reply(makeResponse(result, version));
        });
    }

    /// Posts `work` with the pending reply to the control thread, or fails the call if its secret is wrong.
    template <typename Response, typename Work>
    grpc::ServerUnaryReactor* post(grpc::CallbackServerContext* call, Response* response, Work work)
    {
        auto* reactor = call->DefaultReactor();
        const UnaryReply<Response> reply(reactor, response);
        if (!carriesSecret(*call, this->settings.secret))
            reply.fail(grpc::StatusCode::UNAUTHENTICATED, "wrong or missing secret");
        else
            boost::asio::post(this->context, [work = std::move(work), reply] { work(reply); });
        return reactor;
    }

    boost::asio::io_context& context;
    OperatorHandler& handler;
    OperatorServiceSettings settings;
};

OperatorService::OperatorService(
    boost::asio::io_context& context, OperatorHandler& handler, OperatorServiceSettings settings)
    : implementation(std::make_unique<Implementation>(context, handler, std::move(settings)))
{
}

OperatorService::~OperatorService() = default;

grpc::Service& OperatorService::service() { return *this->implementation; }

} // namespace Lavendervane
