#include "Check/SessionWrites.h"

namespace Lavendervane {

SessionWrites::SessionWrites(const WriteIndex& index)
{
    for (const IndexedWrite& write : index.writes()) {
        const HistoryEvent* acknowledged = write.acknowledgedAttempt();
        if (!acknowledged)
            continue;
        for (const Cell& cell : write.cells)
            this->writes[{ acknowledged->session, cell }].push_back(acknowledged);
    }
}

std::vector<const HistoryEvent*> SessionWrites::acknowledgedBefore(const HistoryEvent& read, const Cell& cell) const
{
    std::vector<const HistoryEvent*> earlier;
    const auto found = this->writes.find({ read.session, cell });
    if (found == this->writes.end())
        return earlier;
    for (const HistoryEvent* write : found->second) {
        if (write->end <= read.start)
            earlier.push_back(write);
    }
    return earlier;
}

} // namespace Lavendervane
