#pragma once

#include <cppunit/TestAssert.h>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <set>
#include <string>
#include <vector>

namespace papayashelf {

/** A value that VMs send each other or write to the store, as a recording of its encoding is named. */
struct RecordedSample {
    std::string name; /**< A value that changes gets another name, so that older recordings keep theirs. */
    std::string encoded;
    std::function<bool(const std::string&)> isRead; /**< Returns true if a recording is read as the same value. */
};

/**
    The recordings of earlier landings under tests/recorded, one folder each, by the order of their names.

    Thread safety: none. Precondition: the working directory is the repository.
*/
class Recordings {
public:
    /** @param samples  all that the test program can encode */
    explicit Recordings(std::vector<RecordedSample> samples)
        : samples(std::move(samples))
    {
        for (const auto& entry : std::filesystem::directory_iterator("tests/recorded"))
            this->folders.insert(entry.path());
    }

    /** Writes all samples to the folder that PAPAYASHELF_RECORD_TO names, if it does; see scripts/record-messages. */
    void recordIfAsked() const
    {
        const char* const folder = std::getenv("PAPAYASHELF_RECORD_TO");
        for (const RecordedSample& sample : this->samples) {
            if (folder)
                std::ofstream(std::filesystem::path(folder) / sample.name, std::ios::binary) << sample.encoded;
        }
    }

    /** Fails the test unless this build reads every recording of its samples as the value that was recorded. */
    void assertAllAreRead() const
    {
        std::size_t read = 0;
        for (const RecordedSample& sample : this->samples) {
            for (const auto& folder : this->folders) {
                const auto file = folder / sample.name;
                if (!std::filesystem::exists(file))
                    continue;
                CPPUNIT_ASSERT_MESSAGE(file.string(), sample.isRead(readFile(file)));
                ++read;
            }
        }
        CPPUNIT_ASSERT(read >= this->samples.size());
    }

    /** Fails the test unless the newest recording is what this build writes: another one needs a new recording. */
    void assertNewestIsWritten() const
    {
        for (const RecordedSample& sample : this->samples)
            CPPUNIT_ASSERT_EQUAL_MESSAGE(sample.name, readFile(*this->folders.rbegin() / sample.name), sample.encoded);
    }

private:
    static std::string readFile(const std::filesystem::path& path)
    {
        std::ifstream file(path, std::ios::binary);
        return std::string(std::istreambuf_iterator<char>(file), {});
    }

    std::vector<RecordedSample> samples;
    std::set<std::filesystem::path> folders;
};

} // namespace papayashelf
