#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace Lavendervane {

/// Immutable string whose type tells what it names, so that two kinds of names cannot be exchanged by accident.
template <typename Tag> class StrongString {
public:
    StrongString() = default;
    explicit StrongString(std::string text)
        : text(std::move(text))
    {
    }

    const std::string& str() const { return this->text; }
    bool empty() const { return this->text.empty(); }

    friend auto operator<=>(const StrongString&, const StrongString&) = default;
    friend std::ostream& operator<<(std::ostream& out, const StrongString& value) { return out << value.text; }

private:
    std::string text;
};

} // namespace Lavendervane

template <typename Tag> struct std::hash<Lavendervane::StrongString<Tag>> {
    size_t operator()(const Lavendervane::StrongString<Tag>& value) const
    {
        return std::hash<std::string> {}(value.str());
    }
};
