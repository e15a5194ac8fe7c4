/** What is known of endpoints that are leaving. */
package io.bilberrygrade.core.leaving;
