#pragma once

#include "Configuration/Configuration.h"
#include "Limits/Admission.h"
#include "Security/KeyText.h"
#include "Traffic/CallerClient.h"
#include "Traffic/FakeEndpoint.h"
#include "Traffic/TrafficServer.h"

#include <prometheus/registry.h>

#include <array>
#include <atomic>
#include <functional>
#include <mutex>
#include <vector>

namespace Lavendervane {

class FakeAdmission : public Admission {
public:
    bool tryTakeToken(const OrganisationId&, Instant) override
    {
        if (!this->open)
            return false;
        ++this->takenTokens;
        return true;
    }
    void returnToken(const OrganisationId&) override { ++this->returnedTokens; }
    Duration retryAfter(const OrganisationId&, Instant) const override { return std::chrono::milliseconds(1200); }

    std::atomic<bool> open { true };
    std::atomic<int> takenTokens { 0 };
    std::atomic<int> returnedTokens { 0 };
};

class RecordingObserver : public TrafficObserver {
public:
    void observe(TrafficObservation observation) override
    {
        const std::lock_guard lock(this->mutex);
        this->observations.push_back(std::move(observation));
    }

    template <typename Kind> std::vector<Kind> all()
    {
        const std::lock_guard lock(this->mutex);
        std::vector<Kind> found;
        for (const auto& observation : this->observations) {
            if (const auto* kind = std::get_if<Kind>(&observation))
                found.push_back(*kind);
        }
        return found;
    }

private:
    std::mutex mutex;
    std::vector<TrafficObservation> observations;
};

/// Polls until the condition holds. Returns false if it does not hold within five seconds.
bool eventually(const std::function<bool()>&);

/// One VM that serves the group "lanes" with the endpoints db-0 (primary in term 1), db-1 and db-2. Organisation "desk"
/// can write and "kiosk" can read. The group "notices", also on db-0's fake endpoint, can be read without a key.
class TrafficFixture {
public:
    explicit TrafficFixture(const TrafficSettings& settings = defaultSettings());
    ~TrafficFixture();

    static TrafficSettings defaultSettings();

    /// Publishes the current configuration with this primary and term.
    void publish(uint64_t term, std::optional<int> primary);
    std::shared_ptr<TrafficSnapshot> makeSnapshot(uint64_t term, std::optional<int> primary) const;

    CallerClient::Headers headers(const KeyText&, const std::string& session = "") const;
    CallerReply write(CallerClient&, CallerClient::Headers extra = {});
    CallerReply read(CallerClient&, CallerClient::Headers extra = {});
    std::string metrics() const;

    /// Sets the log position of db-1 and db-2.
    void replicate(uint64_t position);

    static const std::string writeBody;
    static const std::string readBody;

    std::array<FakeEndpoint, 3> endpoints;
    KeyText deskKey = KeyText::generate(KeyId("desk-key"));
    KeyText kioskKey = KeyText::generate(KeyId("kiosk-key"));
    Configuration configuration;
    FakeAdmission admission;
    RecordingObserver observer;
    std::shared_ptr<prometheus::Registry> registry = std::make_shared<prometheus::Registry>();
    TrafficServer server;
};

} // namespace Lavendervane
