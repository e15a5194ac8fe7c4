/** Decides which orders engines receive, from which daemon and when. */
package io.bilberrygrade.core.fencing;
