#include "Load/RequestGenerator.h"

#include <cmath>
#include <utility>

namespace Lavendervane {

using Json = nlohmann::json;

Json makeStatements(const PlannedRequest& request)
{
    Json statements = Json::array();
    for (const std::string& key : touchedKeys(request.operation, request.key)) {
        if (!isWrite(request.operation))
            statements.push_back({ { "op", "get" }, { "key", key } });
        else if (request.operation == HistoryOperation::Append)
            statements.push_back({ { "op", "append" }, { "key", key }, { "value", encodeListItem(request.value) } });
        else
            statements.push_back({ { "op", "put" }, { "key", key }, { "value", request.value } });
    }
    return statements;
}

RequestGenerator::RequestGenerator(const OrganisationLoad& load, uint32_t keys, std::string run, uint64_t seed)
    : load(load)
    , keys(keys)
    , run(std::move(run))
    , random(seed)
{
}

double RequestGenerator::nextFraction() { return static_cast<double>(this->random.next() >> 11) * 0x1.0p-53; }

int64_t RequestGenerator::nextDelay()
{
    return static_cast<int64_t>(-std::log(1 - this->nextFraction()) / this->load.rate * 1e9);
}

std::string RequestGenerator::keyFor(HistoryOperation operation)
{
    const std::string number = std::to_string(this->random.below(this->keys));
    switch (operation) {
    case HistoryOperation::PutPair:
    case HistoryOperation::GetPair:
        return this->run + "-p" + number;
    case HistoryOperation::Append: {
        // Starts new lists after a while to bound the size of a list read.
        constexpr uint64_t itemsPerList = 50;
        const uint64_t generation = this->appends++ / (itemsPerList * this->keys);
        return this->run + "-l" + number + "-" + std::to_string(generation);
    }
    default:
        return this->run + "-r" + number;
    }
}

PlannedRequest RequestGenerator::makeWrite()
{
    PlannedRequest request;
    const double kind = this->nextFraction();
    if (kind < this->load.pairShare)
        request.operation = HistoryOperation::PutPair;
    else
        request.operation
            = kind < this->load.pairShare + this->load.appendShare ? HistoryOperation::Append : HistoryOperation::Put;
    request.key = this->keyFor(request.operation);
    request.value = this->load.name + "." + this->run + "." + std::to_string(++this->values);
    request.group = this->load.groups[this->random.below(this->load.groups.size())];
    return request;
}

PlannedRequest RequestGenerator::makeRead(const std::vector<PlannedRequest>& recentWrites)
{
    PlannedRequest request;
    if (!recentWrites.empty() && this->nextFraction() < 0.5) {
        const PlannedRequest& earlier = recentWrites[this->random.below(recentWrites.size())];
        const bool pair = earlier.operation == HistoryOperation::PutPair;
        request.operation = pair ? HistoryOperation::GetPair : HistoryOperation::Get;
        request.key = earlier.key;
        request.group = earlier.group;
        return request;
    }
    if (this->nextFraction() < this->load.pairShare)
        request.operation = HistoryOperation::GetPair;
    request.key = this->keyFor(request.operation);
    request.group = this->load.groups[this->random.below(this->load.groups.size())];
    return request;
}

PlannedRequest RequestGenerator::next(const std::vector<PlannedRequest>& recentWrites)
{
    const bool read = this->nextFraction() < this->load.readShare;
    PlannedRequest request = read ? this->makeRead(recentWrites) : this->makeWrite();
    request.interactive = this->nextFraction() < this->load.interactiveShare;
    return request;
}

} // namespace Lavendervane
