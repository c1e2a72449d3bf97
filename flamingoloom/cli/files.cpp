#include "flamingoloom/cli/files.h"

#include <filesystem>
#include <fstream>
#include <sstream>

namespace flamingoloom::cli {
namespace {

using base::ErrorCode;

} // namespace

base::Expected<std::string> ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  std::ostringstream text;
  if (file && !std::filesystem::is_directory(aPath)) {
    text << file.rdbuf();
    if (!file.bad()) {
      return text.str();
    }
  }
  return base::MakeError(
    ErrorCode::eInvalid, "read file", aPath, "the file cannot be read");
}

base::Expected<std::string> WriteFile(const std::string& aPath,
                                      const std::string& aText)
{
  const std::string temporary = aPath + ".new";
  std::error_code error;
  {
    std::ofstream file(temporary, std::ios::binary | std::ios::trunc);
    file << aText;
    file.close();
    if (!file) {
      std::filesystem::remove(temporary, error);
      return base::MakeError(
        ErrorCode::eInvalid, "write file", aPath, "the file cannot be written");
    }
  }
  if (std::filesystem::exists(aPath, error)) {
    std::filesystem::copy_file(
      aPath,
      aPath + ".bak",
      std::filesystem::copy_options::overwrite_existing,
      error);
  }
  std::filesystem::rename(temporary, aPath, error);
  if (error) {
    return base::MakeError(
      ErrorCode::eInvalid, "write file", aPath, error.message());
  }
  return aPath;
}

} // namespace flamingoloom::cli
