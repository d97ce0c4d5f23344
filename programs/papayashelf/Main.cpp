#include "application/application.h"

int main(int argumentCount, char** arguments)
{
    return papayashelf::runCommandLine(argumentCount, arguments);
}
