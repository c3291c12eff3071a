#include "Traffic/CallerAuthentication.h"

#include "Configuration/Configuration.h"
#include "Security/Digest.h"
#include "Security/KeyText.h"
#include "Traffic/CallerError.h"
#include "Traffic/TrafficShared.h"
#include "Traffic/TrafficThread.h"

namespace Lavendervane {

static OrganisationId checkKey(TrafficThread& thread, const std::string& text)
{
    const TrafficSnapshot& snapshot = *thread.snapshot();
    if (!snapshot.keysValid)
        throw CallerError("configuration_too_old", "check the key", "keys cannot be checked for withdrawal now");
    const auto key = KeyText::parse(text);
    // Malformed, unknown and withdrawn keys get the same answer, so that callers cannot probe which key ids exist.
    const ApiKey* declared = key ? snapshot.configuration->findKey(key->id) : nullptr;
    if (!declared || !equalInConstantTime(key->digest(thread.shared().settings.digestSecret), declared->digest))
        throw CallerError("invalid_key", "check the key", "the key is malformed, unknown or withdrawn");
    return declared->organisation;
}

OrganisationId authenticate(
    TrafficThread& thread, const std::optional<std::string>& key, const GroupId& group, Access access)
{
    const Configuration& configuration = *thread.snapshot()->configuration;
    if (!key) {
        const auto anonymous = configuration.anonymousOrganisation(group, access);
        if (!anonymous)
            throw CallerError("key_required", "check the key", "the request needs a key");
        return *anonymous;
    }
    OrganisationId organisation = checkKey(thread, *key);
    if (!configuration.findGroup(group))
        throw CallerError("unknown_group", "check the route", "there is no such group");
    if (!thread.allows(organisation, group, access))
        throw CallerError("not_allowed", "check the route", "no route lets the organisation use the group this way");
    return organisation;
}

} // namespace Lavendervane
