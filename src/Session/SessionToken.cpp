#include "Session/SessionToken.h"

#include "Core/Error.h"
#include "Security/Base64Url.h"
#include "Security/Digest.h"

#include <cassert>

namespace Lavendervane {

static constexpr char formatVersion = 1;
static constexpr size_t signatureBytes = 16;

namespace {

[[noreturn]] void reject(const char* reason) { throw Error("verify session token", "", reason); }

void writeNumber(std::string& out, uint64_t value)
{
    for (; value >= 128; value >>= 7U)
        out += static_cast<char>((value & 127U) | 128U);
    out += static_cast<char>(value);
}

void writeText(std::string& out, const std::string& text)
{
    writeNumber(out, text.size());
    out += text;
}

class PayloadReader {
public:
    explicit PayloadReader(std::string_view bytes)
        : rest(bytes)
    {
    }

    uint64_t number()
    {
        uint64_t value = 0;
        for (unsigned shift = 0; shift < 64 && !this->rest.empty(); shift += 7) {
            const auto byte = static_cast<unsigned char>(this->rest.front());
            this->rest.remove_prefix(1);
            value |= static_cast<uint64_t>(byte & 127U) << shift;
            if (byte < 128)
                return value;
        }
        reject("the token is malformed");
    }

    std::string text()
    {
        const uint64_t size = this->number();
        if (size > this->rest.size())
            reject("the token is malformed");
        std::string result(this->rest.substr(0, size));
        this->rest.remove_prefix(size);
        return result;
    }

    bool atEnd() const { return this->rest.empty(); }

private:
    std::string_view rest;
};

} // namespace

static std::string sign(std::string_view payload, std::string_view secret)
{
    return keyedDigest(secret, payload).substr(0, signatureBytes);
}

SessionToken SessionToken::parse(std::string_view text, std::string_view secret, const OrganisationId& organisation)
{
    const auto bytes = decodeBase64Url(text);
    if (!bytes || bytes->size() <= signatureBytes)
        reject("the token is malformed");
    const std::string_view payload(bytes->data(), bytes->size() - signatureBytes);
    if (!equalInConstantTime(std::string_view(*bytes).substr(payload.size()), sign(payload, secret)))
        reject("the signature is wrong");

    PayloadReader reader(payload.substr(1));
    if (payload.front() != formatVersion)
        reject("the token has an unknown version");
    SessionToken token { OrganisationId(reader.text()) };
    if (token.owner != organisation)
        reject("the token belongs to another organisation");
    for (uint64_t count = reader.number(); count; --count) {
        GroupId group(reader.text());
        const uint64_t counter = reader.number();
        VmId vm(reader.text());
        token.positions[std::move(group)] = { { counter, std::move(vm) }, reader.number() };
    }
    if (!reader.atEnd() || token.positions.size() > maxGroups)
        reject("the token is malformed");
    return token;
}

std::string SessionToken::encode(std::string_view secret) const
{
    std::string payload(1, formatVersion);
    writeText(payload, this->owner.str());
    writeNumber(payload, this->positions.size());
    for (const auto& [group, position] : this->positions) {
        writeText(payload, group.str());
        writeNumber(payload, position.term.counter);
        writeText(payload, position.term.vm.str());
        writeNumber(payload, position.position);
    }
    return encodeBase64Url(payload + sign(payload, secret));
}

const LogPosition* SessionToken::find(const GroupId& group) const
{
    const auto found = this->positions.find(group);
    return found == this->positions.end() ? nullptr : &found->second;
}

bool SessionToken::hasRoomFor(const GroupId& group) const
{
    return this->positions.size() < maxGroups || this->positions.contains(group);
}

void SessionToken::merge(const GroupId& group, const AppliedPosition& seen)
{
    assert(this->hasRoomFor(group));
    const LogPosition* present = this->find(group);
    // A replica that has not applied the first entry of its new term may lack writes of the older term. Replacing the
    // position by one in the new term would lose the requirement to cover those writes.
    if (!present || seen.covers(*present))
        this->positions[group] = { seen.term, seen.position };
}

} // namespace Lavendervane
