/** Runs every registered suite of one test program, or the one that its argument names, such as
    papayashelf::RepeatedRefusalTest; exits 1 if any test fails or none ran. */
#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <iostream>

int main(int argumentCount, char** arguments)
{
    CppUnit::TestResult result;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    result.addListener(&collector);
    result.addListener(&progress);

    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    runner.run(result, argumentCount > 1 ? arguments[1] : "");

    CppUnit::CompilerOutputter outputter(&collector, std::cerr);
    outputter.write();
    return collector.runTests() > 0 && collector.wasSuccessful() ? 0 : 1;
}
