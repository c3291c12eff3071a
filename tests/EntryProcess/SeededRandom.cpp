#include "SeededRandom.h"

namespace Lavendervane::EntryProcess {

std::chrono::microseconds SeededRandom::duration(std::chrono::microseconds shortest, std::chrono::microseconds longest)
{
    return std::chrono::microseconds(
        this->between(static_cast<uint64_t>(shortest.count()), static_cast<uint64_t>(longest.count())));
}

std::string SeededRandom::identifier()
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string text(16, '0');
    for (char& digit : text)
        digit = digits[this->between(0, 15)];
    return text;
}

std::string SeededRandom::word()
{
    std::string text(this->between(1, 14), 'a');
    for (char& letter : text)
        letter = static_cast<char>('a' + this->between(0, 25));
    return text;
}

std::string SeededRandom::oddPart()
{
    switch (this->between(0, 10)) {
    case 0:
        return "\nQUERY " + this->identifier() + " WRITE c6 " + this->word();
    case 1:
        return "\nCOMPLETE 1.2.3\nREADY I 9.9";
    case 2:
        return "\nERROR BUSY i-1\nREADY I -\n";
    case 3:
        return "\nROW " + this->word() + "\rBYE\n";
    case 4:
        return "\r";
    case 5:
        return "\n";
    case 6:
        return "  ";
    case 7:
        return "\xff\xfe\x80\xc3";
    case 8:
        return std::string("\0\x01\x7f", 3);
    case 9: {
        std::string bytes(this->between(1, 20), ' ');
        for (char& byte : bytes)
            byte = static_cast<char>(this->between(0, 255));
        return bytes;
    }
    default:
        return "\xc3\xa9\xe2\x82\xac";
    }
}

std::string SeededRandom::oddBytes()
{
    std::string text;
    for (uint64_t count = this->between(1, 3); count; --count)
        text += this->chance(0.5) ? this->oddPart() + this->word() : this->word() + this->oddPart();
    for (size_t found = text.find("\r\n"); found != std::string::npos; found = text.find("\r\n"))
        text[found] = '+';
    return text;
}

} // namespace Lavendervane::EntryProcess
