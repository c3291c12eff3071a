#include "Runtime/BuildId.h"

#include "Security/Digest.h"

#include <elf.h>
#include <link.h>

#include <cstddef>
#include <cstring>
#include <string_view>

namespace Lavendervane {

static size_t alignNote(size_t size) { return (size + 3) / 4 * 4; }

// The terminating zero is part of the name.
static constexpr char owner[] = "GNU";

static std::string findBuildId(std::string_view notes)
{
    ElfW(Nhdr) header;
    while (notes.size() >= sizeof header) {
        std::memcpy(&header, notes.data(), sizeof header);
        const size_t description = sizeof header + alignNote(header.n_namesz);
        const size_t end = description + alignNote(header.n_descsz);
        if (end > notes.size())
            return {};
        if (header.n_type == NT_GNU_BUILD_ID
            && notes.substr(sizeof header, header.n_namesz) == std::string_view(owner, sizeof owner))
            return toHex(notes.substr(description, header.n_descsz));
        notes.remove_prefix(end);
    }
    return {};
}

// The first object that the dynamic linker reports is the program itself.
static int readFirstObject(dl_phdr_info* object, size_t, void* result)
{
    for (size_t index = 0; index < object->dlpi_phnum; ++index) {
        const ElfW(Phdr)& segment = object->dlpi_phdr[index];
        auto& buildId = *static_cast<std::string*>(result);
        if (segment.p_type != PT_NOTE || !buildId.empty())
            continue;
        // NOLINTNEXTLINE(performance-no-int-to-ptr): an address that the dynamic linker gives as a number
        const auto* start = reinterpret_cast<const char*>(object->dlpi_addr + segment.p_vaddr);
        buildId = findBuildId({ start, segment.p_memsz });
    }
    return 1;
}

std::string readBuildId()
{
    std::string buildId;
    dl_iterate_phdr(readFirstObject, &buildId);
    return buildId;
}

} // namespace Lavendervane
