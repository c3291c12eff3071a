#include "Configuration/Selector.h"

#include "Core/Error.h"

#include <algorithm>
#include <cctype>

namespace Lavendervane {

static std::string_view trim(std::string_view text)
{
    while (!text.empty() && std::isspace(static_cast<unsigned char>(text.front())))
        text.remove_prefix(1);
    while (!text.empty() && std::isspace(static_cast<unsigned char>(text.back())))
        text.remove_suffix(1);
    return text;
}

static bool isLabelCharacter(char character)
{
    return std::isalnum(static_cast<unsigned char>(character)) || character == '-' || character == '_'
        || character == '.' || character == '/';
}

static std::string parseWord(std::string_view text, std::string_view requirement)
{
    const std::string_view word = trim(text);
    if (word.empty() || !std::all_of(word.begin(), word.end(), isLabelCharacter))
        throw Error("parse selector", "", "invalid name or value in \"" + std::string(trim(requirement)) + "\"");
    return std::string(word);
}

/// Splits the text at commas outside parentheses.
static std::vector<std::string_view> splitRequirements(std::string_view text)
{
    std::vector<std::string_view> parts;
    size_t start = 0;
    int depth = 0;
    for (size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '(')
            ++depth;
        else if (text[index] == ')')
            --depth;
        else if (text[index] == ',' && !depth) {
            parts.push_back(text.substr(start, index - start));
            start = index + 1;
        }
    }
    parts.push_back(text.substr(start));
    return parts;
}

static std::vector<std::string> parseValueSet(std::string_view text, std::string_view requirement)
{
    text = trim(text);
    if (text.size() < 2 || text.front() != '(' || text.back() != ')')
        throw Error("parse selector", "", "expected (value, ...) in \"" + std::string(trim(requirement)) + "\"");
    std::vector<std::string> values;
    for (std::string_view part : splitRequirements(text.substr(1, text.size() - 2)))
        values.push_back(parseWord(part, requirement));
    return values;
}

Selector::Requirement Selector::parseRequirement(std::string_view text)
{
    const std::string_view trimmed = trim(text);
    if (const size_t at = trimmed.find("!="); at != std::string_view::npos)
        return { parseWord(trimmed.substr(0, at), text), Operator::NotIn, { parseWord(trimmed.substr(at + 2), text) } };
    if (const size_t at = trimmed.find('='); at != std::string_view::npos)
        return { parseWord(trimmed.substr(0, at), text), Operator::In, { parseWord(trimmed.substr(at + 1), text) } };
    if (const size_t at = trimmed.find(" notin "); at != std::string_view::npos)
        return { parseWord(trimmed.substr(0, at), text), Operator::NotIn, parseValueSet(trimmed.substr(at + 7), text) };
    if (const size_t at = trimmed.find(" in "); at != std::string_view::npos)
        return { parseWord(trimmed.substr(0, at), text), Operator::In, parseValueSet(trimmed.substr(at + 4), text) };
    if (!trimmed.empty() && trimmed.front() == '!')
        return { parseWord(trimmed.substr(1), text), Operator::Absent, {} };
    return { parseWord(trimmed, text), Operator::Exists, {} };
}

Selector Selector::parse(std::string_view text)
{
    Selector selector;
    selector.source = std::string(trim(text));
    if (selector.source.empty())
        throw Error("parse selector", "", "the selector is empty; use * to match everything");
    if (selector.source == "*")
        return selector;
    for (std::string_view part : splitRequirements(selector.source))
        selector.requirements.push_back(parseRequirement(part));
    return selector;
}

bool Selector::isSatisfied(const Requirement& requirement, const Labels& labels)
{
    const auto found = labels.find(requirement.label);
    const bool isPresent = found != labels.end();
    const bool isListed = isPresent
        && std::find(requirement.values.begin(), requirement.values.end(), found->second) != requirement.values.end();
    switch (requirement.op) {
    case Operator::In:
        return isListed;
    case Operator::NotIn:
        return !isListed;
    case Operator::Exists:
        return isPresent;
    case Operator::Absent:
        break;
    }
    return !isPresent;
}

bool Selector::matches(const Labels& labels) const
{
    return std::all_of(this->requirements.begin(), this->requirements.end(),
        [&labels](const Requirement& requirement) { return isSatisfied(requirement, labels); });
}

} // namespace Lavendervane
