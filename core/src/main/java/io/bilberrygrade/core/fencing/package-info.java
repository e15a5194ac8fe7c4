/** Decides which orders engines are to get, from whom and when. */
package io.bilberrygrade.core.fencing;
