#include "Peer/PeerService.h"

#include "Peer/PeerHandler.h"
#include "Peer/PeerMessages.h"
#include "Peer/SharedSecret.h"
#include "Peer/UnaryReply.h"

#include "peer.grpc.pb.h"

#include <boost/asio/post.hpp>
#include <grpcpp/grpcpp.h>

namespace Lavendervane {

class PeerService::Implementation : public lavendervane::PeerService::CallbackService {
public:
    Implementation(boost::asio::io_context& context, PeerHandler& handler, std::string secret)
        : context(context)
        , handler(handler)
        , secret(std::move(secret))
    {
    }

    grpc::ServerUnaryReactor* Probe(grpc::CallbackServerContext* call, const lavendervane::ProbeRequest* request,
        lavendervane::ProbeResponse* response) override
    {
        if (request->has_indirect_target())
            return this->relay(call, request, response);
        return this->post(call, response, [this, gossip = parseGossipMessage(*request)](const auto& reply) {
            this->handler.probe(gossip, [reply](const GossipMessage& answer) {
                lavendervane::ProbeResponse message;
                write(answer, message);
                reply.send(std::move(message));
            });
        });
    }

    grpc::ServerUnaryReactor* FetchChanges(grpc::CallbackServerContext* call,
        const lavendervane::FetchChangesRequest* request, lavendervane::FetchChangesResponse* response) override
    {
        return this->post(call, response, [this, version = request->from_version()](const auto& reply) {
            this->handler.fetchChanges(version, [reply](const ChangesAnswer& answer) {
                lavendervane::FetchChangesResponse message;
                message.set_version(answer.version);
                for (const Change& change : answer.changes)
                    message.add_changes(toJson(change));
                if (answer.snapshot)
                    message.set_snapshot(toJson(*answer.snapshot));
                reply.send(std::move(message));
            });
        });
    }

    grpc::ServerUnaryReactor* RequestGrant(grpc::CallbackServerContext* call,
        const lavendervane::GrantRequestMessage* request, lavendervane::GrantResponseMessage* response) override
    {
        return this->post(call, response, [this, request = parseGrantRequest(*request)](const auto& reply) {
            this->handler.requestGrant(request, [reply](const AnswerGrant& answer) {
                lavendervane::GrantResponseMessage message;
                write(answer, message);
                reply.send(std::move(message));
            });
        });
    }

    grpc::ServerUnaryReactor* ClaimAllocator(grpc::CallbackServerContext* call,
        const lavendervane::ClaimAllocatorRequest* request, lavendervane::ClaimAllocatorResponse* response) override
    {
        return this->post(call, response, [this, claim = parseClaim(*request)](const auto& reply) {
            this->handler.claimAllocator(claim, [reply](const AnswerClaim& answer) {
                lavendervane::ClaimAllocatorResponse message;
                write(answer, message);
                reply.send(std::move(message));
            });
        });
    }

private:
    grpc::ServerUnaryReactor* relay(grpc::CallbackServerContext* call, const lavendervane::ProbeRequest* request,
        lavendervane::ProbeResponse* response)
    {
        const Member target = parseMember(request->indirect_target());
        return this->post(call, response, [this, target, gossip = parseGossipMessage(*request)](const auto& reply) {
            this->handler.relayProbe(target, gossip, [reply](const std::optional<GossipMessage>& answer) {
                if (!answer) {
                    reply.fail(grpc::StatusCode::UNAVAILABLE, "the target did not answer");
                    return;
                }
                lavendervane::ProbeResponse message;
                write(*answer, message);
                reply.send(std::move(message));
            });
        });
    }

    /// Posts `work` with the pending reply to the control thread, or fails the call if its secret is wrong.
    template <typename Response, typename Work>
    grpc::ServerUnaryReactor* post(grpc::CallbackServerContext* call, Response* response, Work work)
    {
        auto* reactor = call->DefaultReactor();
        const UnaryReply<Response> reply(reactor, response);
        if (!carriesSecret(*call, this->secret))
            reply.fail(grpc::StatusCode::UNAUTHENTICATED, "wrong or missing secret");
        else
            boost::asio::post(this->context, [work = std::move(work), reply] { work(reply); });
        return reactor;
    }

    boost::asio::io_context& context;
    PeerHandler& handler;
    std::string secret;
};

PeerService::PeerService(boost::asio::io_context& context, PeerHandler& handler, std::string secret)
    : implementation(std::make_unique<Implementation>(context, handler, std::move(secret)))
{
}

PeerService::~PeerService() = default;

grpc::Service& PeerService::service() { return *this->implementation; }

} // namespace Lavendervane
