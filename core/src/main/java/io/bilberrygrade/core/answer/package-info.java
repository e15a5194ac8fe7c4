/** Decides which answers may go on when those under way hold too much memory. */
package io.bilberrygrade.core.answer;
