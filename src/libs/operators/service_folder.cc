#include "operators/service_folder.h"

#include <filesystem>
#include <fstream>
#include <iterator>

#include "fleet/service_config.h"

namespace hawthornwheel::operators {
namespace {

namespace fs = std::filesystem;

std::vector<fs::path> FindFiles(const std::string& folder,
                                std::vector<base::IniFault>& faults) {
  std::vector<fs::path> paths;
  std::error_code error;
  fs::recursive_directory_iterator iterator(folder, error);
  if (error) {
    faults.push_back({folder, 1, "", "cannot be read: " + error.message()});
    return paths;
  }
  for (const fs::directory_entry& entry : iterator) {
    if (entry.path().extension() == ".ini") paths.push_back(entry.path());
  }
  std::sort(paths.begin(), paths.end());
  if (paths.empty()) {
    faults.push_back({folder, 1, "", "contains no service file (*.ini)"});
  }
  return paths;
}

}  // namespace

ServiceFolder ReadServiceFolder(const std::string& folder) {
  ServiceFolder result;
  std::map<std::string, std::string> files_by_service;
  for (const fs::path& path : FindFiles(folder, result.faults)) {
    std::ifstream file(path);
    if (!file) {
      result.faults.push_back({path.string(), 1, "", "cannot be read"});
      continue;
    }
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    const fleet::ServiceConfigResult parsed =
        fleet::ReadServiceConfig(path.string(), text);
    result.faults.insert(result.faults.end(), parsed.faults.begin(),
                         parsed.faults.end());
    if (!parsed.config) continue;
    const std::string& name = parsed.config->name;
    const auto [position, inserted] =
        files_by_service.emplace(name, path.string());
    if (!inserted) {
      result.faults.push_back(
          {path.string(),
           base::IniFile::Parse("", text).LineOf("service", "name"),
           "service.name",
           "'" + name + "' is defined in " + position->second + " too"});
      continue;
    }
    result.services[name] = text;
  }
  return result;
}

}  // namespace hawthornwheel::operators
