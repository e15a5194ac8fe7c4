/** Tests of failures that need real processes, since simulated ones can't reproduce them. */
package io.bilberrygrade.standins.failure;
