/** The schedule of the periodic exchange with other daemons. */
package io.bilberrygrade.serving.exchange;
