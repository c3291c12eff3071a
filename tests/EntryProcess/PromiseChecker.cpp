#include "PromiseChecker.h"

#include <algorithm>
#include <iterator>
#include <sstream>

namespace Lavendervane::EntryProcess {

// Codes with which a caller is promised that nothing of its attempt is kept.
static const std::set<std::string> promiseCodes { "BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "TOOMANY" };

std::string printable(const std::string& text)
{
    static constexpr size_t maxLength = 160;
    static constexpr char digits[] = "0123456789abcdef";
    std::string out;
    for (const char character : text.substr(0, maxLength)) {
        const auto byte = static_cast<unsigned char>(character);
        if (byte >= ' ' && byte < 0x7f)
            out.push_back(character);
        else
            out.append({ '\\', 'x', digits[byte >> 4], digits[byte & 15] });
    }
    return "'" + out + (text.size() > maxLength ? "'..." : "'");
}

static std::string printable(const std::vector<std::string>& rows)
{
    std::string out;
    for (const std::string& row : rows)
        out += (out.empty() ? "" : ", ") + printable(row);
    return "[" + out + "]";
}

static std::string printable(const SessionValues& values)
{
    std::string out;
    for (const auto& [name, value] : values)
        out += (out.empty() ? "" : ", ") + name + "=" + printable(value);
    return "[" + out + "]";
}

void PromiseChecker::addViolation(const std::string& name, const std::string& example)
{
    Violation& violation = this->found[name];
    if (!violation.count++)
        violation.example = example;
}

uint64_t PromiseChecker::requiredPosition(
    const std::string& group, RouteType type, Clock::duration maxStaleness, uint64_t ownPosition) const
{
    const auto known = this->acknowledgements.find(group);
    if (known == this->acknowledgements.end())
        return ownPosition;
    const auto& list = known->second;
    if (type == RouteType::Primary)
        return std::max(ownPosition, list.back().position);
    const auto limit = Clock::now() - maxStaleness;
    const auto end = std::partition_point(
        list.begin(), list.end(), [limit](const Acknowledgement& entry) { return entry.time < limit; });
    const uint64_t bounded = end == list.begin() ? 0 : std::prev(end)->position;
    return type == RouteType::OwnWrites ? std::max(bounded, ownPosition) : bounded;
}

void PromiseChecker::handleSent(const SentStatement& sent)
{
    ++this->figures["statements"];
    this->statements[sent.id].sent = sent;
    if (sent.transaction)
        this->transactionStatements[sent.transaction].push_back(sent.id);
}

static bool carriesMac(const std::string& text)
{
    return text.starts_with("READ ") || text.starts_with("WRITE ") || text.starts_with("EXECUTE ") || text == "COMMIT";
}

uint64_t PromiseChecker::handleSuccess(
    const std::string& id, const std::string& mac, const std::vector<std::string>& rows)
{
    ++this->figures["succeeded"];
    Statement& statement = this->statements.at(id);
    statement.succeeded = true;
    if (!carriesMac(statement.sent.text))
        return 0;
    const auto& answers = statement.answers;
    if (std::find(answers.begin(), answers.end(), Answer { mac, rows }) == answers.end()) {
        this->addViolation("MIXED",
            id + " " + printable(statement.sent.text) + " was answered with " + printable(mac) + " " + printable(rows)
                + (answers.empty()
                        ? ", no endpoint answered it"
                        : ", an endpoint answered " + answers.back().first + " " + printable(answers.back().second)));
        return 0;
    }
    if (!statement.position)
        return 0;
    auto& list = this->acknowledgements[statement.sent.group];
    const uint64_t newest = list.empty() ? 0 : list.back().position;
    list.push_back({ Clock::now(), std::max(newest, statement.position) });
    return statement.position;
}

void PromiseChecker::handleError(const std::string& id, const std::string& code)
{
    ++this->figures["error " + code];
    Statement& statement = this->statements.at(id);
    if (promiseCodes.count(code))
        statement.refusal = code;
    if (code == "NOSTMT")
        this->addViolation("PREPARED", id + " " + printable(statement.sent.text) + " was answered with NOSTMT");
}

void PromiseChecker::handleClosed(const std::string&) { ++this->figures["closed"]; }

void PromiseChecker::handleUnanswered(const std::string& id)
{
    this->addViolation("UNANSWERED", id + " " + printable(this->statements.at(id).sent.text));
}

void PromiseChecker::handleRun(const EndpointRun& run)
{
    ++this->figures["runs"];
    const std::string where = run.endpoint + " ran " + run.id + " " + printable(run.text);
    if (run.id == "-") {
        if (!run.text.starts_with("READ "))
            this->addViolation("UNASKED", where);
        return;
    }
    const auto known = this->statements.find(run.id);
    if (known == this->statements.end()) {
        this->addViolation("UNASKED", where + ", which no caller sent");
        return;
    }
    const Statement& statement = known->second;
    const SentStatement& sent = statement.sent;
    if (run.text != sent.text) {
        this->addViolation("UNASKED", where + ", its caller sent " + printable(sent.text));
        return;
    }
    if (run.group != sent.group || run.organisation != sent.organisation)
        this->addViolation("ROUTE",
            where + " for " + run.organisation + " in " + run.group + ", its caller sent it for " + sent.organisation
                + " in " + sent.group);
    if (run.shape != sent.shape)
        this->addViolation("PREPARED",
            where + " as " + (run.shape ? printable(run.shape->text) : "none") + ", its caller prepared "
                + (sent.shape ? printable(sent.shape->text) : "none"));
    if (run.values != sent.values)
        this->addViolation(
            "VALUES", where + " with " + printable(run.values) + ", its caller has " + printable(sent.values));
    const bool reads = run.shape ? !run.shape->writes : run.text.starts_with("READ ");
    if (reads && run.position < sent.requiredPosition)
        this->addViolation("STALE",
            where + " at " + std::to_string(run.position) + ", required " + std::to_string(sent.requiredPosition)
                + " by " + sent.database);
    this->checkTransaction(run, statement);
}

void PromiseChecker::checkTransaction(const EndpointRun& run, const Statement& statement)
{
    const uint64_t own = statement.sent.transaction;
    const std::string where = run.endpoint + " ran " + run.id + " " + printable(run.text);
    if (own && !run.transaction)
        this->addViolation("PINNED", where + " outside its transaction");
    if (!run.transaction)
        return;
    // A VM may run a single read in a transaction of its own, which then holds nothing else.
    const TransactionOwner owner { own, own ? "" : run.id };
    if (this->transactions.emplace(run.transaction, owner).first->second != owner)
        this->addViolation("PINNED", where + " inside another transaction");
}

void PromiseChecker::handleAnswer(const std::string& id, const std::string& mac, const std::vector<std::string>& rows)
{
    const auto known = this->statements.find(id);
    if (known != this->statements.end())
        known->second.answers.emplace_back(mac, rows);
}

void PromiseChecker::handleCommit(
    const std::string& id, uint64_t endpointTransaction, uint64_t position, const std::vector<std::string>& writes)
{
    ++this->figures["commits"];
    if (const auto known = this->statements.find(id); known != this->statements.end())
        known->second.position = position;
    for (const std::string& write : writes) {
        const auto known = this->statements.find(write);
        if (known == this->statements.end())
            continue;
        ++known->second.commits;
        known->second.position = position;
    }
    const auto transaction = this->transactions.find(endpointTransaction);
    if (transaction == this->transactions.end())
        return;
    for (const std::string& statement : this->transactionStatements[transaction->second.transaction]) {
        const Statement& entry = this->statements.at(statement);
        const bool writesData = entry.sent.shape ? entry.sent.shape->writes : entry.sent.text.starts_with("WRITE ");
        if (writesData && entry.succeeded && std::find(writes.begin(), writes.end(), statement) == writes.end())
            this->addViolation("PINNED",
                statement + " " + printable(entry.sent.text) + " succeeded and is missing in the commit " + id);
    }
}

void PromiseChecker::finish()
{
    std::map<uint64_t, std::string> refusedTransactions; // code by transaction of callers
    for (const auto& [id, statement] : this->statements) {
        if (!statement.refusal.empty() && statement.sent.transaction)
            refusedTransactions[statement.sent.transaction] = statement.refusal;
    }
    for (const auto& [id, statement] : this->statements) {
        if (statement.commits > 1)
            this->addViolation("TWICE",
                id + " " + printable(statement.sent.text) + " committed " + std::to_string(statement.commits)
                    + " times");
        if (!statement.commits)
            continue;
        const auto refused = refusedTransactions.find(statement.sent.transaction);
        const std::string& code = refused != refusedTransactions.end() ? refused->second : statement.refusal;
        if (!code.empty())
            this->addViolation(
                "REFUSED", id + " " + printable(statement.sent.text) + " committed, its caller got " + code);
    }
}

uint64_t PromiseChecker::figure(const std::string& name) const
{
    const auto known = this->figures.find(name);
    return known == this->figures.end() ? 0 : known->second;
}

double PromiseChecker::successShare() const
{
    const uint64_t sent = this->figure("statements") - this->figure("abandoned");
    return sent ? static_cast<double>(this->figure("succeeded")) / static_cast<double>(sent) : 0;
}

std::string PromiseChecker::summary() const
{
    std::ostringstream text;
    text << "violations:";
    for (const auto& [name, violation] : this->found)
        text << ' ' << name << ' ' << violation.count;
    if (this->found.empty())
        text << " none";
    const char* separator = "; ";
    for (const auto& [name, count] : this->figures) {
        text << separator << name << ' ' << count;
        separator = ", ";
    }
    return text.str();
}

std::string PromiseChecker::examples() const
{
    std::string text;
    for (const auto& [name, violation] : this->found)
        text += "\n  " + name + ": " + violation.example;
    return text;
}

} // namespace Lavendervane::EntryProcess
